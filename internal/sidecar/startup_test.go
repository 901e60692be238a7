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

// logBuffer is a buffer for a log that can be read while it is written.
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

// waitForLine waits for a line that contains all words, and fails the test after testTimeout.
func (l *logBuffer) waitForLine(t *testing.T, words ...string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) { // the log does not signal new lines
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

// A sidecar that is not ready logs the reason periodically, and logs when it is ready. A sidecar
// with a state directory counts its recent starts. A reload can't change the state directory.
func TestStartupIsLogged(t *testing.T) {
	t.Parallel()
	b := startBackend(t, standin.Echo)
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Put(standin.Member{Name: "b", Address: b.Addr()})
	dir := filepath.Join(t.TempDir(), "state")
	app := decodeVersion2(
		t, routeTo("a"),
		serviceTOML{
			name: "a", classes: safeClass,
			source: catalogAt(d.Addr()),
		},
	)
	app.StateDir = dir
	d.SetDown(true)
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
	d.SetDown(false)
	log.waitForLine(t, "msg=\"first endpoint list\"", "endpoints=1")
	log.waitForLine(t, "msg=ready", "recent_starts=0")
	other := *app
	other.StateDir = "elsewhere"
	if err := s.Reload(&other); err == nil {
		t.Error("reload with another state directory: got no error")
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	for start := 1; start < 4; start++ { // each start delays the first poll more; see package start
		s, err := New(app, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		s.Close()
		if recent := s.services["a"].recentStarts; recent != start {
			t.Errorf("got %d recent starts, want %d", recent, start)
		}
	}
}

// A sidecar that starts while its list service is down serves with the list that an earlier process
// has cached. It sends no non-idempotent request to an address that another service uses meanwhile.
// When the list service is up again, the sidecar serves with the new list.
func TestSidecarStartsWithCachedList(t *testing.T) {
	t.Parallel()
	const routes = "[[routes]]\nname = \"look\"\nprefix = \"/look\"\nservice = \"a\"\nclass = \"look\"\n" +
		"[[routes]]\nname = \"post\"\nprefix = \"/post\"\nservice = \"a\"\nclass = \"post\"\n"
	stable, moved := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Put(standin.Member{Name: "stays", Address: stable.Addr()}, standin.Member{Name: "moved", Address: moved.Addr()})
	app := decodeVersion2(
		t, routes,
		serviceTOML{
			name:    "a",
			classes: safeClass + "\n" + unsafeClass,
			source:  catalogAt(d.Addr()),
			extra:   "retry_budget = { free = 100 }",
		},
	)
	app.StateDir, app.MaxListAge = t.TempDir(), time.Minute
	app.Seed = 1 // with this seed the first request is sent to the moved backend
	first := startSidecar(t, app)
	if err := first.WaitReady(context.Background(), testTimeout); err != nil {
		t.Fatal(err)
	}
	first.stop()
	_ = receive(t, "end of the first sidecar", first.done)

	d.SetDown(true)
	misdirected := make(chan string, 100)
	moved.SetHandler(func(c *standin.Call) bool {
		misdirected <- c.Method
		return c.Reply(http.StatusNotFound, "", nil) == nil
	})
	second := startSidecar(t, app)
	if !second.isHealthy() {
		t.Error("the second sidecar is not healthy right after the start")
	}
	for i := range 40 {
		resp, _ := sendRequest(t, second, "POST", "/post/early")
		if i == 0 && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("non-idempotent request before any backend has served: got %d, want 503", resp.StatusCode)
		}
		if resp, _ := sendRequest(t, second, "GET", "/look"); resp.StatusCode != http.StatusOK {
			t.Errorf("idempotent request: got %d, want 200", resp.StatusCode)
		}
	}
	if resp, _ := sendRequest(t, second, "POST", "/post"); resp.StatusCode != http.StatusOK {
		t.Errorf("non-idempotent request after a backend has served: got %d, want 200", resp.StatusCode)
	}
	if len(misdirected) == 0 {
		t.Error("the moved address got no request, so misdirected requests were not tested")
	}
	for len(misdirected) > 0 {
		if m := <-misdirected; m == "POST" {
			t.Error("the service at the moved address got a non-idempotent request")
		}
	}
	d.Delete("moved")
	d.Put(standin.Member{Name: "new", Address: startBackend(t, standin.Echo).Addr()})
	d.SetDown(false)
	waitUntil(t, func() bool {
		l := second.services["a"].endpoints.snapshot()
		return l != nil && len(l.Endpoints) == 2 && l.Endpoints[0].Name == "new"
	})
	waitUntil(t, func() bool { // the new list is cached
		list, _, err := second.services["a"].cacheStore(app.Services[0].Source).Load(time.Now(), time.Minute)
		return err == nil && list != nil && list.Endpoints[0].Name == "new"
	})
}
