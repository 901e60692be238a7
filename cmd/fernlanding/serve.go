package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
)

// traceDuration is how long the services log their stats after SIGUSR1.
const traceDuration = time.Minute

// serve runs a sidecar until the context ends and what it has accepted is answered.
func serve(ctx context.Context, args []string, env func(string) string, received signals, out io.Writer) error {
	flags := flag.NewFlagSet("fernlanding", flag.ContinueOnError)
	flags.SetOutput(out)
	path := flags.String("config", "", "an application's `FILE`; without it the platform's that LB_CONFIG names")
	if err := flags.Parse(args); err != nil {
		return flagError(err)
	}
	if flags.NArg() > 0 {
		return usageErrorf("fernlanding: unknown argument %q; try, standin, version, -config FILE or nothing expected",
			flags.Arg(0))
	}
	log := slog.New(slog.NewTextHandler(out, nil))
	load := func() (*config.App, error) { return loadConfig(*path, env) }
	app, err := load()
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
			case <-received.reload:
				reload(load, s.Reload, log)
			case <-received.trace:
				s.Trace(traceDuration)
			case <-ended:
				return
			}
		}
	}()
	return s.Run(ctx)
}

// reload loads the configuration and applies it. One that can't be applied is one line in the log
// and changes nothing.
func reload(load func() (*config.App, error), apply func(*config.App) error, log *slog.Logger) {
	app, err := load()
	if err == nil {
		err = apply(app)
	}
	if err != nil {
		log.Error("configuration rejected", "error", strings.ReplaceAll(err.Error(), "\n", "; "))
		return
	}
	log.Info(
		"configuration applied",
		"services", len(app.Services), "routes", len(app.Routes), "source", app.Services[0].Source.Address,
	)
}

// loadConfig loads an application's file, or without a path the platform's, for which LB_LISTEN and
// LB_DISCOVERY supply what it lacks.
func loadConfig(path string, env func(string) string) (*config.App, error) {
	if path != "" {
		data, err := readFile(path)
		if err != nil {
			return nil, err
		}
		return config.Decode(path, data)
	}
	path = env("LB_CONFIG")
	if path == "" {
		return nil, errors.New("fernlanding: neither -config nor LB_CONFIG names a file")
	}
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	app, err := config.DecodePlatform(path, data, env("LB_LISTEN"), env("LB_DISCOVERY"))
	if err != nil {
		return nil, configError(err)
	}
	return app, nil
}

// configError returns an error of reading the configuration, as it is printed.
func configError(err error) error { return fmt.Errorf("fernlanding: configuration: %w", err) }

// readFile reads a file up to the bound of a configuration and one byte more, by which package
// config sees that it is too long.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, configError(err)
	}
	defer func() { _ = f.Close() }() // nothing was written
	data, err := io.ReadAll(io.LimitReader(f, config.MaxFile+1))
	if err != nil {
		return nil, configError(err)
	}
	return data, nil
}
