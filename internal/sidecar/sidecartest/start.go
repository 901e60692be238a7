// Package sidecartest starts sidecars for the tests of other packages.
package sidecartest

import (
	"context"
	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
	"log/slog"
	"testing"
	"time"
)

const readyWithin = 20 * time.Second

// Start runs a sidecar by an application's file until the test ends, and returns once it is ready.
func Start(t testing.TB, file string) *sidecar.Sidecar {
	t.Helper()
	app, err := config.Decode("test.toml", []byte(file))
	if err != nil {
		t.Fatal(err)
	}
	s, err := sidecar.New(app, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	if err := s.WaitReady(ctx, readyWithin); err != nil {
		t.Fatal(err)
	}
	return s
}
