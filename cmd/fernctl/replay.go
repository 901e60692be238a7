package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/replay"
	"fernlanding/internal/pcap/write"

	"github.com/urfave/cli/v3"
)

const maxReplayConnections = 1 << 16 // upper bound of -conns

// replayCommand returns the command that replays a capture.
func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "send the requests of a capture again, and set the outcomes side by side",
		ArgsUsage: "FILE",
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
			&cli.StringSliceFlag{
				Name: "redact", Usage: "`FIELD=PATTERN`, or =PATTERN for bodies: what matches is replaced by ***",
			},
			&cli.StringFlag{Name: "write", Usage: "write what was sent and got to `FILE` (pcapng)"},
			&cli.StringFlag{Name: "ids", Usage: "write a table of old and new ids to `FILE`"},
			&cli.Uint64Flag{Name: "seed", Usage: "of new ids; 0: drawn"},
		), Action: pcapReplay,
	}
}

// parsePairs parses the NAME=VALUE values of a repeated flag.
func parsePairs(flag string, words []string) (map[string]string, error) {
	pairs := map[string]string{}
	for _, word := range words {
		name, value, ok := strings.Cut(word, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("pcap replay: invalid -%s %q: must have the form NAME=VALUE", flag, word)
		}
		pairs[name] = value
	}
	return pairs, nil
}

// parseRedactions parses the FIELD=PATTERN values of -redact.
func parseRedactions(words []string) ([]replay.Redaction, error) {
	var redactions []replay.Redaction
	for _, word := range words {
		name, text, ok := strings.Cut(word, "=")
		if !ok || text == "" {
			return nil, fmt.Errorf("pcap replay: invalid -redact %q: must have the form FIELD=PATTERN", word)
		}
		pattern, err := regexp.Compile(text)
		if err != nil {
			return nil, fmt.Errorf("pcap replay: invalid -redact %q: %w", word, err)
		}
		redactions = append(redactions, replay.Redaction{Field: name, Pattern: pattern, With: "***"})
	}
	return redactions, nil
}

// replayOptions returns the plan options that the flags set.
func replayOptions(c *cli.Command) (opts replay.Options, err error) {
	opts = replay.Options{
		Speed:                c.Float("speed"),
		ConnectionPerRequest: c.Bool("single"),
		SendNonIdempotent:    c.Bool("unsafe"),
		ClassField:           c.String("class"),
		IDField:              c.String("id"),
		NewKeys:              c.Bool("new-keys"),
	}
	opts.Set, err = parsePairs("set", c.StringSlice("set"))
	if err != nil {
		return opts, err
	}
	opts.Copy, err = parsePairs("copy", c.StringSlice("copy"))
	if err != nil {
		return opts, err
	}
	opts.Redact, err = parseRedactions(c.StringSlice("redact"))
	return opts, err
}

// replayAddress returns the address of -to, or an error unless the address is a loopback address or
// allowed by -allow.
func replayAddress(c *cli.Command) (netip.AddrPort, error) {
	to, err := netip.ParseAddrPort(c.String("to"))
	if err != nil {
		return to, fmt.Errorf("pcap replay: invalid -to %q: must be an IP address and a port", c.String("to"))
	}
	var allowed []netip.AddrPort
	for _, word := range c.StringSlice("allow") {
		address, err := netip.ParseAddrPort(word)
		if err != nil {
			return to, fmt.Errorf("pcap replay: invalid -allow %q: must be an IP address and a port", word)
		}
		allowed = append(allowed, address)
	}
	return to, replay.CheckAddress(to, allowed)
}

// planCollector builds a plan while a capture is read. The bodies are kept until the replay is
// over.
type planCollector struct {
	*collector
	plan *replay.Plan
}

// Exchange implements http.Sink.
func (p *planCollector) Exchange(e *http.Exchange) {
	if e.Request != nil {
		p.requests++
		p.err = errors.Join(p.err, p.plan.Add(e))
	}
}

// pcapReplay replays a capture and compares the outcomes.
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
	plan, err := replay.New(opts, seed)
	if err != nil {
		return err
	}
	planned := &planCollector{collector: newCollector(), plan: plan}
	errOut := c.Root().ErrWriter
	planned.onFault = func(fault faultLine) { writeReport(errOut, fault.String()+"\n") }
	return replayCapture(ctx, c, planned, target)
}

// replayTarget returns the target that the flags set. A dry run needs no address.
func replayTarget(c *cli.Command) (target replay.Target, err error) {
	target = replay.Target{
		MaxConnections: c.Int("conns"),
		Timeout:        c.Duration("wait"),
		Pipeline:       c.Bool("pipeline"),
	}
	if n := target.MaxConnections; n < 1 || n > maxReplayConnections {
		return target, fmt.Errorf("pcap replay: invalid -conns %d: must be between 1 and %d", n, maxReplayConnections)
	}
	if !c.Bool("dry-run") {
		target.Addr, err = replayAddress(c)
	}
	return target, err
}

// replayCapture reads a capture into a plan, and runs the plan or, with -dry-run, prints the plan.
// The store of the capture's bodies stays open until the plan has run.
func replayCapture(ctx context.Context, c *cli.Command, planned *planCollector, target replay.Target) (err error) {
	file, store, err := openCapture(c)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close(), store.Close()) }()
	if _, err := readOpenCapture(ctx, c, file, store, planned, planned.collector); err != nil {
		return err
	}
	if name := c.String("ids"); name != "" {
		if err := writeIDs(name, planned.plan.Steps); err != nil {
			return err
		}
	}
	if c.Bool("dry-run") {
		printPlan(c.Root().Writer, planned.plan)
		return planned.exitError()
	}
	return runPlan(ctx, c, planned, target)
}

// runPlan runs a plan and prints the comparison. runPlan returns errFindings if an outcome differs
// or the capture has a fault.
func runPlan(ctx context.Context, c *cli.Command, planned *planCollector, target replay.Target) (err error) {
	closeRecording, err := recordReplay(c.String("write"), &target)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, closeRecording()) }()
	report := compareOutcomes(planned.plan, planned.plan.Run(ctx, target))
	if c.Bool("json") {
		err = writeJSON(c.Root().Writer, report)
	} else {
		err = report.print(c.Root().Writer)
	}
	switch {
	case err != nil:
		return errors.Join(err, planned.exitError())
	case ctx.Err() != nil:
		return fmt.Errorf("pcap replay: %w", ctx.Err())
	case !report.allEqual():
		return errFindings
	}
	return planned.exitError()
}

// recordReplay makes the target record what is sent and received in a file, unless the name is
// empty. closeRecording flushes and closes the file.
func recordReplay(name string, target *replay.Target) (closeRecording func() error, err error) {
	if name == "" {
		return func() error { return nil }, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("pcap replay: %w", err)
	}
	target.Capture, err = write.New(file, 0, "client")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() error { return errors.Join(target.Capture.Flush(), file.Close()) }, nil
}

// printPlan prints the requests that the plan would send, and those that it skips.
func printPlan(out io.Writer, plan *replay.Plan) {
	for _, step := range plan.Steps {
		text := fmt.Sprintf("%10.4f conn %d (%s)\n%s",
			step.Offset.Seconds(), step.Connection, step.Idempotency, step.Head)
		if step.SkipReason != "" {
			text = fmt.Sprintf("%10.4f conn %d: %s %s (%s): left out: %s\n",
				step.Offset.Seconds(), step.Connection, step.Method, step.Target, step.Idempotency, step.SkipReason)
		}
		writeReport(out, text)
	}
}

// writeIDs writes a table of captured and new request IDs to a file.
func writeIDs(name string, steps []*replay.Step) error {
	var table strings.Builder
	for _, step := range steps {
		if step.NewID != "" {
			fmt.Fprintf(&table, "%s\t%s\n", step.OldID, step.NewID)
		}
	}
	if err := os.WriteFile(name, []byte(table.String()), 0o600); err != nil {
		return fmt.Errorf("pcap replay: %w", err)
	}
	return nil
}
