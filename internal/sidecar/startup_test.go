package sidecar

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/standin"
)

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// waitForLine waits for a line that contains all words.
func (l *logBuffer) waitForLine(t *testing.T, words ...string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) { // a log has no channel
		l.mu.Lock()
		text := l.buffer.String()
		l.mu.Unlock()
		for line := range strings.Lines(text) {
			isMissing := func(word string) bool { return !strings.Contains(line, word) }
			if !slices.ContainsFunc(words, isMissing) {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("no line with %q in\n%s", words, text)
		}
	}
}

// A sidecar that is not ready logs why, again and again, and logs when it is. With a state
// directory it knows how often it has started lately, and a reload can't change the directory.
func TestStartupIsLogged(t *testing.T) {
	t.Parallel()
	b := backend(t, standin.Echo)
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Put(standin.Member{Name: "b", Address: b.Addr()})
	dir := filepath.Join(t.TempDir(), "state")
	app := decodeVersion2(
		t, routeTo("a"),
		serviceText{
			name: "a", classes: safeClass,
			source: catalogAt(d.Addr()),
		},
	)
	app.StateDir = dir
	d.Down(true)
	var log logBuffer
	s, err := New(app, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	s.notReadyLogInterval = 10 * time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	log.waitForLine(t, "msg=\"not ready\"", "services_without_list=[a]", "recent_starts=0")
	log.waitForLine(t, "msg=\"discovery call failed\"", "has_list=false", "reason=rejected", "next=")
	d.Down(false)
	log.waitForLine(t, "msg=\"first endpoint list\"", "endpoints=1")
	log.waitForLine(t, "msg=ready", "recent_starts=0")
	other := *app
	other.StateDir = "elsewhere"
	if err := s.Reload(&other); err == nil {
		t.Error("the state directory was changed")
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	for life := 1; life < 4; life++ { // each waits longer before its first poll: see package start
		s, err := New(app, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		s.Close()
		if starts := s.services["a"].recentStarts; starts != life {
			t.Errorf("life %d: %d recent starts", life, starts)
		}
	}
}

// A sidecar that starts while its list service is down serves by the list that an earlier one has
// cached, and sends no non-idempotent request to an address that is another service's by now; once
// the list service is up it serves as before.
func TestSidecarStartsWithCachedList(t *testing.T) {
	t.Parallel()
	const routes = "[[routes]]\nname = \"look\"\nprefix = \"/look\"\nservice = \"a\"\nclass = \"look\"\n" +
		"[[routes]]\nname = \"post\"\nprefix = \"/post\"\nservice = \"a\"\nclass = \"post\"\n"
	stays, moved := backend(t, standin.Echo), backend(t, standin.Echo)
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Put(standin.Member{Name: "stays", Address: stays.Addr()}, standin.Member{Name: "moved", Address: moved.Addr()})
	app := decodeVersion2(
		t, routes,
		serviceText{
			name:    "a",
			classes: safeClass + "\n" + unsafeClass,
			source:  catalogAt(d.Addr()),
			extra:   "retry_budget = { free = 100 }",
		},
	)
	app.StateDir, app.ListAge = t.TempDir(), time.Minute
	app.Seed = 1 // by which the first request goes to the backend that has moved
	first := startSidecar(t, app)
	if err := first.WaitReady(context.Background(), testTimeout); err != nil {
		t.Fatal(err)
	}
	first.stop()
	_ = receive(t, "end of the first", first.done)

	d.Down(true)
	misdirected := make(chan string, 100)
	moved.SetHandler(func(c *standin.Call) bool {
		misdirected <- c.Method
		return c.Reply(http.StatusNotFound, "", nil) == nil
	})
	second := startSidecar(t, app)
	if !second.isHealthy() {
		t.Error("the second is not ready at once")
	}
	for i := range 40 {
		resp, _ := sendRequest(t, second, "POST", "/post/early")
		if i == 0 && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("a non-idempotent request is answered %d before any backend has served", resp.StatusCode)
		}
		if resp, _ := sendRequest(t, second, "GET", "/look"); resp.StatusCode != http.StatusOK {
			t.Errorf("an idempotent request is answered %d", resp.StatusCode)
		}
	}
	if resp, _ := sendRequest(t, second, "POST", "/post"); resp.StatusCode != http.StatusOK {
		t.Errorf("the backend that has served gets no non-idempotent request: %d", resp.StatusCode)
	}
	if len(misdirected) == 0 {
		t.Error("the moved backend got nothing: nothing was tested")
	}
	for len(misdirected) > 0 {
		if m := <-misdirected; m == "POST" {
			t.Error("another service got a non-idempotent request")
		}
	}
	d.Delete("moved")
	d.Put(standin.Member{Name: "new", Address: backend(t, standin.Echo).Addr()})
	d.Down(false)
	waitUntil(t, func() bool {
		l := second.services["a"].endpoints.snapshot()
		return l != nil && len(l.Endpoints) == 2 && l.Endpoints[0].Name == "new"
	})
	waitUntil(t, func() bool { // and that list is cached
		list, _, err := second.services["a"].cacheStore(app.Services[0].Source).Load(time.Now(), time.Minute)
		return err == nil && list != nil && list.Endpoints[0].Name == "new"
	})
}
