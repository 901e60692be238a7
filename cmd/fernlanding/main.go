// Command fernlanding is a sidecar: it takes requests and balances them over the backends of the services that it
// knows.
//
//	fernlanding                 the platform's proxy, told by the file that LB_CONFIG names
//	fernlanding -config FILE    an application's sidecar, told by a TOML file
//	fernlanding try [...]       a sidecar before an embedded stand-in fleet
//	fernlanding standin FILE... stand-ins of the backends that files name, on loopback addresses
//	fernlanding version         the program's version and the formats that it reads
//
// It ends with 0 after SIGTERM, with 1 when it can't serve and with 2 when its configuration or its arguments make no
// sense. On SIGHUP it reads its file again; a file that makes no sense is one line in the log and changes nothing.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
)

const (
	traceFor = time.Minute // what SIGUSR1 has logged

	exitFailed = 1
	exitUsage  = 2 // arguments or a configuration that make no sense
)

func main() {
	os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

// usageError is a fault of the caller's.
type usageError struct{ error }

func run(args []string, env func(string) string, out, log io.Writer) int {
	// Caught before all else and to the end: unhandled, either would end the process with what it holds.
	hups := make(chan os.Signal, 1) // one more than the one being handled: the file is read after the last
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	traces := make(chan os.Signal, 1)
	signal.Notify(traces, syscall.SIGUSR1)
	defer signal.Stop(traces)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	word := ""
	if len(args) > 0 {
		word = args[0]
	}
	switch word {
	case "try":
		err = try(ctx, args[1:], out, log)
	case "standin":
		err = backends(ctx, args[1:], out, log)
	case "version":
		fmt.Fprintf(out, "fernlanding %s, reads versions 1 to %d of an application's file\n", config.Program, config.Version)
	default:
		err = serve(ctx, args, env, hups, traces, log)
	}
	var usage usageError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(log, usage)
		return exitUsage
	}
	fmt.Fprintf(log, "fernlanding: %v\n", err)
	return exitFailed
}

// serve is the sidecar's life.
func serve(ctx context.Context, args []string, env func(string) string, hups, traces <-chan os.Signal, out io.Writer) error {
	flags := flag.NewFlagSet("fernlanding", flag.ContinueOnError)
	flags.SetOutput(out)
	path := flags.String("config", "", "an application's `FILE`; without it the platform's that LB_CONFIG names")
	if err := flags.Parse(args); err != nil {
		return asUsage(err)
	}
	if flags.NArg() > 0 {
		return usageError{fmt.Errorf("fernlanding: unknown argument %q; try, standin, version, -config FILE or nothing expected", flags.Arg(0))}
	}
	log := slog.New(slog.NewTextHandler(out, nil))
	read := func() (*config.App, error) { return load(*path, env) }
	app, err := read()
	if err != nil {
		return usageError{err}
	}
	sidecar.ApplyRuntimeLimits(app)
	s, err := sidecar.New(app, log)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-hups:
				reload(read, s.Reload, log)
			case <-traces:
				s.Trace(traceFor)
			case <-ended:
				return
			}
		}
	}()
	return s.Run(ctx)
}

// asUsage makes a flag package's error, which it has printed, one of usage.
func asUsage(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return usageError{err}
}

// reload reads the configuration again after SIGHUP and has it take hold. One that makes no sense is one line in the
// log and changes nothing.
func reload(read func() (*config.App, error), take func(*config.App) error, log *slog.Logger) {
	app, err := read()
	if err == nil {
		err = take(app)
	}
	if err != nil {
		log.Error("configuration rejected", "error", strings.ReplaceAll(err.Error(), "\n", "; "))
		return
	}
	log.Info("configuration applied", "services", len(app.Services), "routes", len(app.Routes), "source", app.Services[0].Source.Address)
}

// load reads an application's file, or the platform's, in which LB_LISTEN and LB_DISCOVERY stand in for what it lacks.
func load(path string, env func(string) string) (*config.App, error) {
	if path != "" {
		data, err := read(path)
		if err != nil {
			return nil, err
		}
		return config.Decode(path, data)
	}
	if path = env("LB_CONFIG"); path == "" {
		return nil, errors.New("fernlanding: neither -config nor LB_CONFIG names a file")
	}
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	app, err := config.DecodePlatform(path, data, env("LB_LISTEN"), env("LB_DISCOVERY"))
	if err != nil {
		return nil, fmt.Errorf("fernlanding: configuration: %w", err)
	}
	return app, nil
}

// read reads a file up to the bound of a configuration and one byte more.
func read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("fernlanding: configuration: %w", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, config.MaxFile+1))
	if err != nil {
		return nil, fmt.Errorf("fernlanding: configuration: %w", err)
	}
	return data, nil
}
