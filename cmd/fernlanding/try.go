package main

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
	"fernlanding/internal/standin"
)

const (
	maxLoad           = 5000 // requests per second
	maxLoadDuration   = 10 * time.Minute
	maxFaultyBackends = 10 // number of all backends of the fleet

	// Faults are injected after 1/faultDelayFraction of a load's duration.
	faultDelayFraction = 5

	readyTimeout = 10 * time.Second // for the sidecar to become ready
)

// tryOptions are the arguments of try.
type tryOptions struct {
	load     float64       // requests per second; 0 means no load
	duration time.Duration // duration of the load
	slow     int           // backends that become slow
	hung     int           // backends that stop responding
	asJSON   bool
	seed     uint64
	listen   string // address of the sidecar
}

// try runs a stand-in fleet and a sidecar in front of the fleet, in this process. With a load, it
// sends the load and prints the results. Otherwise it runs until the context ends.
func try(ctx context.Context, args []string, out, log io.Writer) error {
	options, err := parseTryOptions(args, log)
	if err != nil {
		return err
	}
	fleet, err := standin.NewFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	app, err := config.Decode("try", []byte(fleet.Config(options.listen)))
	if err != nil {
		return err
	}
	app.Seed = options.seed
	warnings := slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelWarn})
	s, err := sidecar.New(app, slog.New(warnings))
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(runCtx) // the sidecar's end is not part of the result
	}()
	defer func() {
		stop()
		<-done
	}()
	if err := s.WaitReady(runCtx, readyTimeout); err != nil {
		return err
	}
	if options.load == 0 {
		printAddresses(out, s.Addr(), fleet)
		<-ctx.Done()
		return nil
	}
	report := runLoad(ctx, options, s.Addr(), fleet)
	if options.asJSON {
		return report.writeJSON(out)
	}
	return report.writeTable(out)
}

// parseTryOptions parses the arguments of try.
func parseTryOptions(args []string, log io.Writer) (*tryOptions, error) {
	var o tryOptions
	flags := flag.NewFlagSet("fernlanding try", flag.ContinueOnError)
	flags.SetOutput(log)
	flags.Float64Var(&o.load, "load", 0, "requests a `second` to play; 0: none, run until interrupted")
	flags.DurationVar(&o.duration, "for", 10*time.Second, "how `long` the load is")
	flags.IntVar(&o.slow, "slow", 0, "`backends` that turn eight times slower after a fifth of the load")
	flags.IntVar(&o.hung, "hang", 0, "`backends` that answer nothing from then on")
	flags.BoolVar(&o.asJSON, "json", false, "print the result as JSON")
	flags.Uint64Var(&o.seed, "seed", 0, "of the load and the sidecar; 0: drawn")
	flags.StringVar(&o.listen, "listen", "127.0.0.1:0", "`address` of the sidecar")
	if err := flags.Parse(args); err != nil {
		return nil, flagError(err)
	}
	isLoadValid := o.load >= 0 && o.load <= maxLoad // false for NaN
	switch {
	case flags.NArg() > 0:
		return nil, usageErrorf("fernlanding try: unknown argument %q: only flags are allowed", flags.Arg(0))
	case !isLoadValid:
		return nil, usageErrorf("fernlanding try: invalid -load %g: must be 0 to %d", o.load, maxLoad)
	case o.duration <= 0 || o.duration > maxLoadDuration:
		return nil, usageErrorf("fernlanding try: invalid -for %v: must be more than 0 and at most %v",
			o.duration, maxLoadDuration)
	case o.slow < 0 || o.hung < 0 || o.slow+o.hung > maxFaultyBackends:
		return nil, usageErrorf("fernlanding try: invalid -slow %d -hang %d: must be 0 to %d backends together",
			o.slow, o.hung, maxFaultyBackends)
	}
	if o.seed == 0 {
		o.seed = rand.Uint64()
	}
	return &o, nil
}

// printAddresses prints the addresses of the sidecar and the backends, and example commands.
func printAddresses(out io.Writer, sidecarAddress string, fleet *standin.Fleet) {
	printf(out, "sidecar  http://%s\n", sidecarAddress)
	for _, worker := range fleet.Workers {
		printf(out, "backend  http://%s\n", worker.Addr())
	}
	printf(out, "\ntry      curl -i http://%[1]s/tariffs/7\n"+
		"         curl -i -X POST -H 'Idempotency-Key: k1' -d '{}' http://%[1]s/usage\n"+
		"         curl -i -X POST -d '{}' http://%[1]s/accounts/7/charges\n\nInterrupt to end.\n", sidecarAddress)
}

// runLoad sends a load, injects the faults, and returns the results.
func runLoad(ctx context.Context, options *tryOptions, address string, fleet *standin.Fleet) *tryReport {
	load := standin.Load{
		Addr:     address,
		Classes:  fleet.Classes(),
		Rate:     options.load,
		Duration: options.duration,
		Seed:     options.seed,
		IDPrefix: "try",
	}
	faults := time.AfterFunc(options.duration/faultDelayFraction, func() {
		fleet.InjectFaults(options.slow, options.hung)
	})
	defer faults.Stop()
	results := load.Run(ctx)
	report := &tryReport{
		Listen:  address,
		Rate:    options.load,
		Seconds: options.duration.Seconds(),
		Slow:    options.slow,
		Hung:    options.hung,
		Seed:    options.seed,

		DuplicateEffects: len(fleet.Effects.Duplicates()),
	}
	for _, result := range results {
		result.CountAttempts(load.IDPrefix, fleet.Workers)
		report.Classes = append(report.Classes, result)
		report.Total.Add(result)
	}
	return report
}
