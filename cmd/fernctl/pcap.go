package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fernlanding/internal/pcap"
	"fernlanding/internal/pcap/bodies"
	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/packet"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
)

func pcapCommand() *cli.Command {
	c := &cli.Command{Name: "pcap", Usage: "read captures as traffic", Commands: []*cli.Command{
		{Name: "info", Usage: "what a capture holds, and all that is wrong with it", ArgsUsage: "FILE", Flags: pcapFlags(
			&cli.IntFlag{Name: "faults", Value: 50, Usage: "print at most `N` faults; all are counted"}), Action: pcapInfo},
		{
			Name: "requests", Usage: "the requests of a capture, a line each, with their answers", ArgsUsage: "FILE",
			Flags: pcapFlags(), Action: pcapRequests,
		},
		replayCommand(),
	}}
	for _, sub := range c.Commands {
		sub.OnUsageError = usage
	}
	return c
}

func pcapFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		jsonFlag(),
		&cli.IntFlag{Name: "flows", Value: 1 << 16, Usage: "hold at most `N` open connections"},
		&cli.IntFlag{Name: "body-mb", Value: 64, Usage: "a body of more `MB` is a fault"},
		&cli.IntFlag{Name: "disk-mb", Value: 1024, Usage: "keep at most so many `MB` of large bodies in temporary files"},
	}, more...)
}

// collector takes what a reading finds.
type collector struct {
	exchange func(*http.Exchange) error // takes each; may be nil
	fault    func(faultLine)
	kinds    map[string]int64
	ends     map[flow.EndReason]int64
	requests int64
	answers  int64
	paired   int64
	err      error
}

// faultLine is a fault as it is printed.
type faultLine struct {
	Flow   int64  `json:"flow,omitempty"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
	Kind   string `json:"kind"`
	Why    string `json:"why,omitempty"`
	At     int64  `json:"at"`
	Bytes  int64  `json:"bytes"`
	Packet int64  `json:"packet"`
}

func (f faultLine) String() string {
	where := "no flow"
	if f.Flow > 0 {
		where = fmt.Sprintf("flow %d %s>%s", f.Flow, f.From, f.To)
	}
	line := fmt.Sprintf("%s at byte %d, packet %d: %s: %d bytes", where, f.At, f.Packet, f.Kind, f.Bytes)
	if f.Why != "" {
		line += ": " + f.Why
	}
	return line
}

func newCollector() *collector {
	return &collector{kinds: map[string]int64{}, ends: map[flow.EndReason]int64{}, fault: func(faultLine) {}}
}

func (c *collector) tell(f *flow.Flow, d flow.Direction, line faultLine) {
	if f != nil {
		line.Flow, line.From, line.To = f.ID, f.Addresses[d].String(), f.Addresses[1-d].String()
	}
	c.kinds[line.Kind]++
	c.fault(line)
}

// Exchange implements http.Sink.
func (c *collector) Exchange(e *http.Exchange) {
	if e.Request != nil {
		c.requests++
	}
	if e.Response != nil {
		c.answers++
	}
	if e.Request != nil && e.Response != nil {
		c.paired++
	}
	if c.exchange != nil {
		c.err = errors.Join(c.err, c.exchange(e))
	}
	for _, m := range []*http.Message{e.Request, e.Response} {
		if m != nil {
			c.err = errors.Join(c.err, m.Body.Remove())
		}
	}
}

// StreamFault implements http.Sink.
func (c *collector) StreamFault(f *flow.Flow, d flow.Direction, x http.Fault) {
	c.tell(f, d, faultLine{Kind: string(x.Kind), Why: x.Reason, At: x.Offset, Bytes: x.Bytes, Packet: x.Packet})
}

// SegmentFault implements http.Sink.
func (c *collector) SegmentFault(x flow.Fault) {
	c.tell(x.Flow, x.Direction, faultLine{Kind: string(x.Kind), At: x.Offset, Bytes: x.Bytes, Packet: x.Packet})
}

// FlowEnded implements http.Sink.
func (c *collector) FlowEnded(_ *flow.Flow, why flow.EndReason) { c.ends[why]++ }

// openPcap opens the file that a command names, and a store for its large bodies.
func openPcap(c *cli.Command) (*os.File, *bodies.Dir, error) {
	if c.Args().Len() != 1 {
		return nil, nil, fmt.Errorf("pcap %s: found %d arguments, expected one FILE", c.Name, c.Args().Len())
	}
	for _, name := range []string{"flows", "body-mb", "disk-mb"} {
		if n := c.Int(name); n < 1 || n > 1<<20 {
			return nil, nil, fmt.Errorf("pcap %s: -%s: found %d, expected 1 to %d", c.Name, name, n, 1<<20)
		}
	}
	in, err := os.Open(c.Args().First())
	if err != nil {
		return nil, nil, fmt.Errorf("pcap %s: %w", c.Name, err)
	}
	store, err := bodies.New("", int64(c.Int("disk-mb"))<<20)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("pcap %s: %w", c.Name, err), in.Close())
	}
	return in, store, nil
}

// readFrom reads a capture; sink is to, or stands around it.
func readFrom(ctx context.Context, c *cli.Command, in io.Reader, store *bodies.Dir, sink http.Sink, to *collector) (*pcap.Summary, error) {
	opts := pcap.Options{
		Flow: flow.Limits{Flows: c.Int("flows")}, HTTP: http.Limits{Body: int64(c.Int("body-mb")) << 20},
		Bodies: store, OnMalformed: func(f *packet.DecodeError) {
			to.tell(nil, 0, faultLine{Kind: "bad-packet", Why: f.Err.Error(), Packet: f.Packet})
		},
	}
	sum, err := pcap.Read(ctx, in, opts, sink)
	if err = errors.Join(err, to.err); err != nil {
		return nil, fmt.Errorf("pcap %s: %s: %w", c.Name, c.Args().First(), err)
	}
	if !sum.Complete() {
		to.tell(nil, 0, faultLine{Kind: "broken-file", Why: *sum.ReadFailure, Packet: sum.Packets + 1})
	}
	if n := sum.DiscardedFragments; n > 0 {
		to.kinds["fragments-given-up"] += n
	}
	return sum, sum.Check()
}

// readPcap reads the file that a command names.
func readPcap(ctx context.Context, c *cli.Command, to *collector) (sum *pcap.Summary, err error) {
	in, store, err := openPcap(c)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, in.Close(), store.Close()) }()
	return readFrom(ctx, c, in, store, to, to)
}

// infoReport is what pcap info -json prints.
type infoReport struct {
	File     string                   `json:"file"`
	Requests int64                    `json:"requests"`
	Answers  int64                    `json:"answers"`
	Paired   int64                    `json:"paired"`
	Flows    map[flow.EndReason]int64 `json:"flows_by_end"`
	Faults   map[string]int64         `json:"faults"`
	First    []faultLine              `json:"first_faults"`
	Summary  *pcap.Summary            `json:"summary"`
}

// ended is the end of a command that has read a capture: faults are found, or none.
func (c *collector) ended() error {
	if len(c.kinds) > 0 {
		return errFaults
	}
	return nil
}

func pcapInfo(ctx context.Context, c *cli.Command) error {
	to, most := newCollector(), c.Int("faults")
	var first []faultLine
	to.fault = func(f faultLine) {
		if len(first) < most {
			first = append(first, f)
		}
	}
	sum, err := readPcap(ctx, c, to)
	if err != nil {
		return err
	}
	report := infoReport{c.Args().First(), to.requests, to.answers, to.paired, to.ends, to.kinds, first, sum}
	out := c.Root().Writer
	if c.Bool("json") {
		if err := asJSON(out, report); err != nil {
			return err
		}
		return to.ended()
	}
	report.print(out)
	return to.ended()
}

func (r *infoReport) print(out io.Writer) {
	s := r.Summary
	fmt.Fprintf(out, "%s: %s, %d packets, %s from %s\n", r.File, s.Format, s.Packets, s.Last.Sub(s.First).Round(time.Millisecond), s.First.UTC().Format(time.RFC3339))
	fmt.Fprintf(out, "packets   %d TCP, %d fragments waited, %d others, %d of no sense; time went back %d times\n", s.Segments, s.Fragments, s.OtherPackets, s.Malformed, s.TimeReversals)
	p := s.Payload
	fmt.Fprintf(out, "payload   %d bytes: %d in order, %d repeated, %d differing, %d not compared, %d behind gaps, %d outside\n",
		p.Payload, p.Delivered, p.Repeated, p.Conflicts, p.Unverified, p.Untrusted, p.Outside)
	fmt.Fprintf(out, "streams   %d bytes: %d of requests, %d of answers, %d of faults\n", s.Stream.Bytes, s.Stream.Request, s.Stream.Response, s.Stream.Faulty)
	fmt.Fprintf(out, "messages  %d requests, %d answers, %d pairs\n", r.Requests, r.Answers, r.Paired)
	for _, end := range slices.Sorted(maps.Keys(r.Flows)) {
		fmt.Fprintf(out, "flows     %d %s\n", r.Flows[end], end)
	}
	total := int64(0)
	for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(out, "faults    %d %s\n", r.Faults[kind], kind)
		total += r.Faults[kind]
	}
	for _, f := range r.First {
		fmt.Fprintln(out, f)
	}
	if more := total - int64(len(r.First)); more > 0 {
		fmt.Fprintf(out, "and %d more\n", more)
	}
}

// requestLine is what pcap requests prints of an exchange.
type requestLine struct {
	Flow    int64   `json:"flow"`
	Number  int     `json:"number"`
	Packet  int64   `json:"packet"`
	At      float64 `json:"at_s"` // seconds from the first request that is printed
	From    string  `json:"from"`
	Method  string  `json:"method"`
	Target  string  `json:"target"`
	Class   string  `json:"class,omitempty"`
	ID      string  `json:"request_id,omitempty"`
	Body    int64   `json:"body_bytes"`
	Digest  string  `json:"body_sha256"`
	Status  int     `json:"status,omitempty"` // 0: no answer was seen
	Took    float64 `json:"took_ms,omitempty"`
	Answer  int64   `json:"answer_bytes,omitempty"`
	Answers string  `json:"answer_sha256,omitempty"`
}

func digest(b http.Body) (string, error) {
	r, err := b.Open()
	if err != nil {
		return "", err
	}
	h := sha256.New()
	_, err = io.Copy(h, r)
	return hex.EncodeToString(h.Sum(nil)), errors.Join(err, r.Close())
}

func pcapRequests(ctx context.Context, c *cli.Command) error {
	to, out, log := newCollector(), c.Root().Writer, c.Root().ErrWriter
	var first time.Time
	lines := json.NewEncoder(out)
	to.exchange = func(e *http.Exchange) (err error) {
		q := e.Request
		if q == nil {
			return nil // counted and reported
		}
		if first.IsZero() {
			first = q.Began
		}
		l := requestLine{
			Flow: e.Flow.ID, Number: e.Number, Packet: q.FirstPacket, At: q.Began.Sub(first).Seconds(), From: e.Flow.Addresses[0].String(),
			Method: q.Method, Target: q.Target, Class: q.FieldValue("Request-Class"), ID: q.FieldValue("Request-Id"), Body: q.Body.Size,
		}
		if l.Digest, err = digest(q.Body); err != nil {
			return err
		}
		if a := e.Response; a != nil {
			l.Status, l.Took, l.Answer = a.StatusCode, float64(a.Ended.Sub(q.Ended).Microseconds())/1000, a.Body.Size
			if l.Answers, err = digest(a.Body); err != nil {
				return err
			}
		}
		if c.Bool("json") {
			return lines.Encode(l)
		}
		status := "no answer"
		if l.Status > 0 {
			status = fmt.Sprintf("%d in %.1f ms, %d bytes %.12s", l.Status, l.Took, l.Answer, l.Answers)
		}
		_, err = fmt.Fprintf(out, "%10.4f flow %d.%d %s %s, %d bytes %.12s: %s\n", l.At, l.Flow, l.Number, l.Method, l.Target, l.Body, l.Digest, status)
		return err
	}
	to.fault = func(f faultLine) { fmt.Fprintln(log, f) }
	if _, err := readPcap(ctx, c, to); err != nil {
		return err
	}
	return to.ended()
}
