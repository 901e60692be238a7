package main

import (
	"context"
	"errors"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/replay"
	"fernlanding/internal/pcap/write"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

const mostConns = 1 << 16 // of a replay

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "send the requests of a capture again, and set the outcomes side by side", ArgsUsage: "FILE",
		Flags: pcapFlags(
			&cli.StringFlag{Name: "to", Usage: "send to `ADDRESS`, host:port by numbers"},
			&cli.StringSliceFlag{Name: "allow", Usage: "an `ADDRESS` beyond loopback that may be sent to"},
			&cli.BoolFlag{Name: "dry-run", Usage: "send nothing; print what would be sent"},
			&cli.BoolFlag{Name: "unsafe", Usage: "send also what must not run twice: its effects happen again"},
			&cli.FloatFlag{Name: "speed", Value: 1, Usage: "2 is twice as fast; -1 as fast as -conns lets it"},
			&cli.IntFlag{Name: "conns", Value: 256, Usage: "open at most `N` connections"},
			&cli.BoolFlag{Name: "single", Usage: "a connection for each request, not as captured"},
			&cli.BoolFlag{Name: "pipeline", Usage: "do not wait for the answer before, where the capture did not"},
			&cli.DurationFlag{Name: "wait", Value: 30 * time.Second, Usage: "for an answer, at most"},
			&cli.StringFlag{Name: "id", Usage: "the `FIELD` whose value is made new, such as Request-Id"},
			&cli.BoolFlag{Name: "new-keys", Usage: "make idempotency keys new, alike for alike"},
			&cli.StringFlag{Name: "class", Value: "Request-Class", Usage: "the `FIELD` that names a request's class"},
			&cli.StringSliceFlag{Name: "set", Usage: "`NAME=VALUE`: set a field; an empty value takes it out"},
			&cli.StringSliceFlag{Name: "copy", Usage: "`NEW=OLD`: set a field from another of the capture"},
			&cli.StringSliceFlag{Name: "redact", Usage: "`FIELD=PATTERN`, or =PATTERN for bodies: what matches is replaced by ***"},
			&cli.StringFlag{Name: "write", Usage: "write what was sent and got to `FILE` (pcapng)"},
			&cli.StringFlag{Name: "ids", Usage: "write a table of old and new ids to `FILE`"},
			&cli.Uint64Flag{Name: "seed", Usage: "of new ids; 0: drawn"},
		), Action: pcapReplay,
	}
}

// pairs reads NAME=VALUE words.
func pairs(flag string, words []string) (map[string]string, error) {
	m := map[string]string{}
	for _, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("pcap replay: -%s: found %q, expected NAME=VALUE", flag, w)
		}
		m[name] = value
	}
	return m, nil
}

// replayOptions are what the flags say of the plan.
func replayOptions(c *cli.Command) (replay.Options, error) {
	o := replay.Options{
		Speed: c.Float("speed"), ConnectionPerRequest: c.Bool("single"), SendNonIdempotent: c.Bool("unsafe"), ClassField: c.String("class"), IDField: c.String("id"),
		NewKeys: c.Bool("new-keys"),
	}
	var err error
	if o.Set, err = pairs("set", c.StringSlice("set")); err != nil {
		return o, err
	}
	if o.Copy, err = pairs("copy", c.StringSlice("copy")); err != nil {
		return o, err
	}
	for _, w := range c.StringSlice("redact") {
		name, text, ok := strings.Cut(w, "=")
		if !ok || text == "" {
			return o, fmt.Errorf("pcap replay: -redact: found %q, expected FIELD=PATTERN", w)
		}
		pattern, err := regexp.Compile(text)
		if err != nil {
			return o, fmt.Errorf("pcap replay: -redact: %w", err)
		}
		o.Redact = append(o.Redact, replay.Redaction{Field: name, Pattern: pattern, With: "***"})
	}
	return o, nil
}

// address reads an address that may be sent to.
func address(c *cli.Command) (netip.AddrPort, error) {
	to, err := netip.ParseAddrPort(c.String("to"))
	if err != nil {
		return to, fmt.Errorf("pcap replay: -to: found %q, expected an address and a port", c.String("to"))
	}
	var allowed []netip.AddrPort
	for _, w := range c.StringSlice("allow") {
		a, err := netip.ParseAddrPort(w)
		if err != nil {
			return to, fmt.Errorf("pcap replay: -allow: found %q, expected an address and a port", w)
		}
		allowed = append(allowed, a)
	}
	return to, replay.CheckAddress(to, allowed)
}

// planner gathers a plan while a capture is read; bodies stay until the replay is over.
type planner struct {
	*collector
	plan *replay.Plan
}

// Exchange implements http.Sink.
func (p *planner) Exchange(e *http.Exchange) {
	if e.Request != nil {
		p.requests++
		p.err = errors.Join(p.err, p.plan.Add(e))
	}
}

func pcapReplay(ctx context.Context, c *cli.Command) error {
	opts, err := replayOptions(c)
	if err != nil {
		return err
	}
	target, err := replayTarget(c)
	if err != nil {
		return err
	}
	seed := c.Uint64("seed")
	if seed == 0 {
		seed = rand.Uint64()
	}
	to := &planner{collector: newCollector()}
	to.fault = func(f faultLine) { fmt.Fprintln(c.Root().ErrWriter, f) }
	if to.plan, err = replay.New(opts, seed); err != nil {
		return err
	}
	return replayCapture(ctx, c, to, target)
}

// replayTarget is what the flags say of where requests go.
func replayTarget(c *cli.Command) (t replay.Target, err error) {
	t = replay.Target{MaxConnections: c.Int("conns"), Timeout: c.Duration("wait"), Pipeline: c.Bool("pipeline")}
	if t.MaxConnections < 1 || t.MaxConnections > mostConns {
		return t, fmt.Errorf("pcap replay: -conns: found %d, expected 1 to %d", t.MaxConnections, mostConns)
	}
	if !c.Bool("dry-run") {
		t.Addr, err = address(c)
	}
	return t, err
}

// replayCapture reads a capture into a plan, and carries the plan out or prints it. The capture's bodies stay open until then.
func replayCapture(ctx context.Context, c *cli.Command, to *planner, target replay.Target) (err error) {
	in, store, err := openPcap(c)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, in.Close(), store.Close()) }()
	if _, err := readFrom(ctx, c, in, store, to, to.collector); err != nil {
		return err
	}
	if name := c.String("ids"); name != "" {
		if err := writeIDs(name, to.plan.Steps); err != nil {
			return err
		}
	}
	if c.Bool("dry-run") {
		printPlan(c.Root().Writer, to.plan)
		return to.ended()
	}
	end, err := captureReplay(c.String("write"), &target)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, end()) }()
	report := compare(to.plan, to.plan.Run(ctx, target))
	if c.Bool("json") {
		err = asJSON(c.Root().Writer, report)
	} else {
		err = report.print(c.Root().Writer)
	}
	if err == nil && ctx.Err() != nil {
		return fmt.Errorf("pcap replay: %w", ctx.Err())
	}
	if err == nil && !report.same() {
		return errFaults
	}
	return errors.Join(err, to.ended())
}

// captureReplay has a target write what is sent and answered to a file, if it has a name; end ends the file.
func captureReplay(name string, target *replay.Target) (end func() error, err error) {
	if name == "" {
		return func() error { return nil }, nil
	}
	f, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("pcap replay: %w", err)
	}
	if target.Capture, err = write.New(f, 0, "client"); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return func() error { return errors.Join(target.Capture.Flush(), f.Close()) }, nil
}

// printPlan prints what would be sent.
func printPlan(out io.Writer, p *replay.Plan) {
	for _, s := range p.Steps {
		if s.SkipReason != "" {
			fmt.Fprintf(out, "%10.4f conn %d: %s %s (%s): left out: %s\n", s.Offset.Seconds(), s.Connection, s.Method, s.Target, s.Idempotency, s.SkipReason)
			continue
		}
		fmt.Fprintf(out, "%10.4f conn %d (%s)\n%s", s.Offset.Seconds(), s.Connection, s.Idempotency, s.Head)
	}
}

func writeIDs(name string, steps []*replay.Step) error {
	var b strings.Builder
	for _, s := range steps {
		if s.NewID != "" {
			fmt.Fprintf(&b, "%s\t%s\n", s.OldID, s.NewID)
		}
	}
	if err := os.WriteFile(name, []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("pcap replay: %w", err)
	}
	return nil
}

// sideBySide is what became of a class in the capture and in the replay.
type sideBySide struct {
	Class     string         `json:"class"`
	Requests  int            `json:"requests"`
	LeftOut   int            `json:"left_out"`
	Sent      int            `json:"sent"`
	NoAnswer  int            `json:"no_answer"`
	Captured  map[string]int `json:"captured_status"`
	Replayed  map[string]int `json:"replayed_status"`
	Statuses  int            `json:"same_status"`
	Bodies    int            `json:"same_body"`
	CapturedP [2]float64     `json:"captured_ms_p50_p99"`
	ReplayedP [2]float64     `json:"replayed_ms_p50_p99"`
	LateP99   float64        `json:"late_ms_p99"` // after its time

	captured, replayed, late []time.Duration
}

type replayReport struct {
	Classes []*sideBySide  `json:"classes"`
	LeftOut map[string]int `json:"left_out_why"`
	Errors  map[string]int `json:"errors"`
}

func status(code int) string {
	if code == 0 {
		return "none"
	}
	return fmt.Sprint(code)
}

// compare sets the outcomes of a replay beside the captured ones.
func compare(p *replay.Plan, results []*replay.Result) *replayReport {
	r := &replayReport{LeftOut: map[string]int{}, Errors: map[string]int{}}
	classes := map[string]*sideBySide{}
	of := func(s *replay.Step) *sideBySide {
		name := s.Class
		if name == "" {
			name = s.Method + " (" + s.Idempotency.String() + ")"
		}
		if classes[name] == nil {
			classes[name] = &sideBySide{Class: name, Captured: map[string]int{}, Replayed: map[string]int{}}
		}
		return classes[name]
	}
	for _, s := range p.Steps {
		c := of(s)
		c.Requests++
		c.Captured[status(s.Captured.StatusCode)]++
		if s.Captured.StatusCode > 0 {
			c.captured = append(c.captured, s.Captured.Latency)
		}
		if s.SkipReason != "" {
			c.LeftOut++
			r.LeftOut[s.SkipReason]++
		}
	}
	for _, x := range results {
		c := of(x.Step)
		if x.Sent {
			c.Sent++
		}
		c.late = append(c.late, x.Delay)
		c.Replayed[status(x.Replayed.StatusCode)]++
		if x.Err != nil {
			c.NoAnswer++
			r.Errors[x.Err.Error()]++
			continue
		}
		c.replayed = append(c.replayed, x.Replayed.Latency)
		if x.Replayed.StatusCode == x.Step.Captured.StatusCode {
			c.Statuses++
		}
		if x.BodyEqual {
			c.Bodies++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		c := classes[name]
		c.CapturedP, c.ReplayedP, c.LateP99 = [2]float64{at(c.captured, 50), at(c.captured, 99)}, [2]float64{at(c.replayed, 50), at(c.replayed, 99)}, at(c.late, 99)
		r.Classes = append(r.Classes, c)
	}
	return r
}

// at is a percentile in milliseconds.
func at(d []time.Duration, percent int) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return float64(d[min(len(d)-1, len(d)*percent/100)].Microseconds()) / 1000
}

// same tells whether everything that was sent had the captured status and body.
func (r *replayReport) same() bool {
	return !slices.ContainsFunc(r.Classes, func(c *sideBySide) bool {
		return c.Statuses != c.Requests-c.LeftOut || c.Bodies != c.Requests-c.LeftOut
	})
}

func (r *replayReport) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "class\trequests\tleft out\tsent\tno answer\tsame status\tsame body\tcaptured\treplayed\tcaptured ms p50 p99\treplayed ms p50 p99\tlate ms p99")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%.1f %.1f\t%.1f %.1f\t%.1f\n", c.Class, c.Requests, c.LeftOut, c.Sent, c.NoAnswer, c.Statuses,
			c.Bodies, counted(c.Captured), counted(c.Replayed), c.CapturedP[0], c.CapturedP[1], c.ReplayedP[0], c.ReplayedP[1], c.LateP99)
	}
	for _, why := range slices.Sorted(maps.Keys(r.LeftOut)) {
		fmt.Fprintf(w, "left out: %d: %s\n", r.LeftOut[why], why)
	}
	for i, why := range slices.Sorted(maps.Keys(r.Errors)) {
		if i == mostErrors {
			fmt.Fprintf(w, "and %d more\n", len(r.Errors)-mostErrors)
			break
		}
		fmt.Fprintf(w, "no answer: %d: %s\n", r.Errors[why], why)
	}
	return w.Flush()
}

const mostErrors = 20 // lines of errors

func counted(m map[string]int) string {
	var words []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		words = append(words, fmt.Sprintf("%s:%d", k, m[k]))
	}
	return strings.Join(words, " ")
}
