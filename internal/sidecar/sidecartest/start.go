// Package sidecartest starts sidecars for the tests of other packages.
package sidecartest

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
)

const readyTimeout = 20 * time.Second

// Start runs a sidecar with the configuration in an application's file until the test ends. It
// returns when the sidecar is ready.
func Start(tb testing.TB, file string) *sidecar.Sidecar {
	tb.Helper()
	app, err := config.Decode("test.toml", []byte(file))
	if err != nil {
		tb.Fatal(err)
	}
	s, err := sidecar.New(app, slog.New(slog.DiscardHandler))
	if err != nil {
		tb.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	tb.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			tb.Error(err)
		}
	})
	if err := s.WaitReady(ctx, readyTimeout); err != nil {
		tb.Fatal(err)
	}
	return s
}
