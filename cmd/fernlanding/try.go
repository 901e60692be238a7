package main

import (
	"context"
	"encoding/json"
	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
	"fernlanding/internal/standin"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"text/tabwriter"
	"time"
)

const (
	mostLoad = 5000
	mostFor  = 10 * time.Minute
	quiet    = 5 // the first part of a load, before its troubles: one in so many

	readyWithin = 10 * time.Second
)

// tryReport is what try -json prints.
type tryReport struct {
	Listen  string           `json:"listen"`
	Rate    float64          `json:"rate"`
	Seconds float64          `json:"seconds"`
	Slow    int              `json:"slow"`
	Hung    int              `json:"hung"`
	Seed    uint64           `json:"seed"`
	Classes []standin.Result `json:"classes"`
	Total   standin.Result   `json:"total"`
	Twice   int              `json:"effects_twice"` // effects that happened more than once
}

// try starts a stand-in fleet and a sidecar before it, in this process. With a load it plays that and prints what became
// of it; otherwise it runs until it is interrupted.
func try(ctx context.Context, args []string, out, log io.Writer) error {
	flags := flag.NewFlagSet("fernlanding try", flag.ContinueOnError)
	flags.SetOutput(log)
	load := flags.Float64("load", 0, "requests a `second` to play; 0: none, run until interrupted")
	long := flags.Duration("for", 10*time.Second, "how `long` the load is")
	slow := flags.Int("slow", 0, "`backends` that turn eight times slower after a fifth of the load")
	hang := flags.Int("hang", 0, "`backends` that answer nothing from then on")
	asJSON := flags.Bool("json", false, "print the result as JSON")
	seed := flags.Uint64("seed", 0, "of the load and the sidecar; 0: drawn")
	listen := flags.String("listen", "127.0.0.1:0", "`address` of the sidecar")
	if err := flags.Parse(args); err != nil {
		return asUsage(err)
	}
	switch {
	case flags.NArg() > 0:
		return usageError{fmt.Errorf("fernlanding try: unknown argument %q; flags expected", flags.Arg(0))}
	case !(*load >= 0 && *load <= mostLoad):
		return usageError{fmt.Errorf("fernlanding try: -load %g; 0 to %d expected", *load, mostLoad)}
	case *long <= 0 || *long > mostFor:
		return usageError{fmt.Errorf("fernlanding try: -for %v; more than 0 and at most %v expected", *long, mostFor)}
	case *slow < 0 || *hang < 0 || *slow+*hang > 10:
		return usageError{fmt.Errorf("fernlanding try: -slow %d -hang %d; 0 to 10 backends together expected", *slow, *hang)}
	}
	if *seed == 0 {
		*seed = rand.Uint64()
	}
	fleet, err := standin.NewFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	app, err := config.Decode("try", []byte(fleet.Config(*listen)))
	if err != nil {
		return err
	}
	app.Seed = *seed
	s, err := sidecar.New(app, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelWarn})))
	if err != nil {
		return err
	}
	inner, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(inner) }()
	defer func() { stop(); <-ended }()
	if err := s.WaitReady(inner, readyWithin); err != nil {
		return err
	}
	if *load == 0 {
		fmt.Fprintf(out, "sidecar  http://%s\n", s.Addr())
		for _, w := range fleet.Workers {
			fmt.Fprintf(out, "backend  http://%s\n", w.Addr())
		}
		fmt.Fprintf(out, "\ntry      curl -i http://%s/tariffs/7\n         curl -i -X POST -H 'Idempotency-Key: k1' -d '{}' http://%s/usage\n"+
			"         curl -i -X POST -d '{}' http://%s/accounts/7/charges\n\nInterrupt to end.\n", s.Addr(), s.Addr(), s.Addr())
		<-ctx.Done()
		return nil
	}
	l := standin.Load{Addr: s.Addr(), Classes: fleet.Classes(), Rate: *load, For: *long, Seed: *seed, Tag: "try"}
	trouble := time.AfterFunc(*long/quiet, func() { fleet.InjectFaults(*slow, *hang) })
	defer trouble.Stop()
	results := l.Run(ctx)
	report := tryReport{
		Listen: s.Addr(), Rate: *load, Seconds: long.Seconds(), Slow: *slow, Hung: *hang, Seed: *seed,
		Twice: len(fleet.Effects.Duplicates()),
	}
	for _, r := range results {
		r.Count(l.Tag, fleet.Workers)
		report.Classes = append(report.Classes, r)
		report.Total.Add(r)
	}
	if *asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(report)
	}
	return report.table(out)
}

func (r *tryReport) table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsent\tserved\tlate\trefused\tfailed\tattempts/request\tp50 ms\tp99 ms\t")
	for _, c := range append(r.Classes, r.Total) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t\n", c.Class, c.Sent, c.Served, c.Late, c.Shed, c.Failed, c.AttemptsPerRequest,
			float64(c.P50.Microseconds())/1000, float64(c.P99.Microseconds())/1000)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "effects that happened twice: %d\n", r.Twice)
	return err
}
