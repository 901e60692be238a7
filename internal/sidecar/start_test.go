package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/standin"
)

// lines is a log that can be read while it is written.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// until waits for a line that has all of some words.
func (l *lines) until(t *testing.T, words ...string) {
	t.Helper()
	for late := time.Now().Add(patience); ; time.Sleep(time.Millisecond) { // a log has no channel
		l.mu.Lock()
		text := l.b.String()
		l.mu.Unlock()
		for line := range strings.Lines(text) {
			all := true
			for _, w := range words {
				all = all && strings.Contains(line, w)
			}
			if all {
				return
			}
		}
		if time.Now().After(late) {
			t.Fatalf("no line with %q in\n%s", words, text)
		}
	}
}

// A sidecar that is not ready says why, again and again, and says when it is; where it has a folder it knows how often it has
// started lately, and another configuration can't take the folder away.
func TestAStartIsTold(t *testing.T) {
	b := backend(t, standin.Echo)
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Put(standin.Member{Name: "b", Address: b.Addr()})
	dir := filepath.Join(t.TempDir(), "state")
	app := decode2(t, to("a"), svc{"a", safeClass, fmt.Sprintf("membership = \"catalog\"\ndiscovery = %q", d.Addr()), ""})
	app.StateDir = dir
	d.Down(true)
	var log lines
	s, err := New(app, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	s.remind = 10 * time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	log.until(t, "msg=\"not ready\"", "no_list_of=[a]", "earlier_starts=0")
	log.until(t, "msg=discovery", "list=false", "why=\"turned away\"", "next=")
	d.Down(false)
	log.until(t, "msg=\"first list\"", "endpoints=1")
	log.until(t, "msg=ready", "earlier_starts=0")
	other := *app
	other.StateDir = "elsewhere"
	if err := s.Reload(&other); err == nil {
		t.Error("the folder was changed")
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	for life := 1; life < 4; life++ { // each waits longer before its first reading: see package start
		s, err := New(app, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		if s.Discard(); s.services["a"].starts != life {
			t.Errorf("life %d: %d earlier starts", life, s.services["a"].starts)
		}
	}
}
