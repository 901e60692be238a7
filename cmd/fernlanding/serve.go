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

// serve runs a sidecar until the context ends and all accepted requests have their response.
func serve(ctx context.Context, args []string, env func(string) string, received signals, out io.Writer) error {
	flags := flag.NewFlagSet("fernlanding", flag.ContinueOnError)
	flags.SetOutput(out)
	path := flags.String("config", "", "an application's `FILE`; without it the platform's that LB_CONFIG names")
	if err := flags.Parse(args); err != nil {
		return flagError(err)
	}
	if flags.NArg() > 0 {
		return usageErrorf("fernlanding: unknown argument %q: must be try, standin, version, -config FILE or none",
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
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-received.reload:
				reload(load, s.Reload, log)
			case <-received.trace:
				s.Trace(traceDuration)
			case <-done:
				return
			}
		}
	}()
	return s.Run(ctx)
}

// reload loads the configuration and applies it. If the configuration cannot be loaded or applied,
// reload logs one line and the configuration in force stays.
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

// loadConfig loads the configuration file of an application. Without a path it loads the file of
// the platform's proxy that LB_CONFIG names. LB_LISTEN and LB_DISCOVERY supply addresses that are
// missing from the latter file.
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

// configError returns the error for a configuration that cannot be read.
func configError(err error) error { return fmt.Errorf("fernlanding: configuration: %w", err) }

// readFile reads a file up to one byte more than the limit of a configuration. The additional
// byte lets package config detect a file that is too long.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, configError(err)
	}
	defer func() { _ = f.Close() }() // the file was only read
	data, err := io.ReadAll(io.LimitReader(f, config.MaxFile+1))
	if err != nil {
		return nil, configError(err)
	}
	return data, nil
}
