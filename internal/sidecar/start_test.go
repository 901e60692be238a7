package sidecar

import (
	"bytes"
	"context"
	"fernlanding/internal/standin"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
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
	t.Parallel()
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
	log.until(t, "msg=\"discovery call failed\"", "has_list=false", "reason=rejected", "next=")
	d.Down(false)
	log.until(t, "msg=\"first endpoint list\"", "endpoints=1")
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
		if s.Close(); s.services["a"].starts != life {
			t.Errorf("life %d: %d earlier starts", life, s.services["a"].starts)
		}
	}
}

// A sidecar that starts anew while its list service is away serves by the list that the one before it kept, and sends nothing
// that may not be repeated to an address that is another service's by now; once the service is back it serves as before.
func TestASidecarBeginsWithTheListOfTheOneBefore(t *testing.T) {
	t.Parallel()
	const routes = "[[routes]]\nname = \"look\"\nprefix = \"/look\"\nservice = \"a\"\nclass = \"look\"\n[[routes]]\nname = \"post\"\nprefix = \"/post\"\nservice = \"a\"\nclass = \"post\"\n"
	stays, moved := backend(t, standin.Echo), backend(t, standin.Echo)
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Put(standin.Member{Name: "stays", Address: stays.Addr()}, standin.Member{Name: "moved", Address: moved.Addr()})
	app := decode2(t, routes, svc{"a", safeClass + "\n" + unsafeClass, fmt.Sprintf("membership = \"catalog\"\ndiscovery = %q", d.Addr()), "retry_budget = { free = 100 }"})
	app.StateDir, app.ListAge, app.Seed = t.TempDir(), time.Minute, 1 // a seed by which the first call goes to the one that has moved
	first := start(t, app)
	if err := first.WaitReady(context.Background(), patience); err != nil {
		t.Fatal(err)
	}
	first.stop()
	wait(t, "end of the first", first.done)

	d.Down(true)
	strays := make(chan string, 100)
	moved.SetHandler(func(c *standin.Call) bool {
		strays <- c.Method
		return c.Reply(http.StatusNotFound, "", nil) == nil
	})
	second := start(t, app)
	if !second.healthy() {
		t.Error("the second is not ready at once")
	}
	for i := range 40 {
		if resp, _ := ask(t, second, "POST", "/post/early"); i == 0 && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("what may not be repeated is answered %d before any backend has served", resp.StatusCode)
		}
		if resp, _ := ask(t, second, "GET", "/look"); resp.StatusCode != http.StatusOK {
			t.Errorf("what may be repeated is answered %d", resp.StatusCode)
		}
	}
	if resp, _ := ask(t, second, "POST", "/post"); resp.StatusCode != http.StatusOK {
		t.Errorf("the backend that has served gets nothing that may not be repeated: %d", resp.StatusCode)
	}
	if len(strays) == 0 {
		t.Error("the moved one got nothing: the test shows nothing")
	}
	for len(strays) > 0 {
		if m := <-strays; m == "POST" {
			t.Error("another service got what may not be repeated")
		}
	}
	d.Delete("moved")
	d.Put(standin.Member{Name: "new", Address: backend(t, standin.Echo).Addr()})
	d.Down(false)
	waitUntil(t, func() bool {
		l := second.services["a"].roster.list()
		return l != nil && len(l.Endpoints) == 2 && l.Endpoints[0].Name == "new"
	})
	waitUntil(t, func() bool { // and that is kept
		list, _, err := second.services["a"].store(app.Services[0].Source).Load(time.Now(), time.Minute)
		return err == nil && list != nil && list.Endpoints[0].Name == "new"
	})
}
