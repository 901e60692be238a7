package sidecar

import (
	"fernlanding/internal/standin/backendtest"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// hungListener is a backend whose queue of connections is full: what dials it hangs until it accepts.
func hungListener(tb testing.TB) net.Listener {
	tb.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(err)
	}
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		tb.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "backend")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return l
		}
		tb.Cleanup(func() { c.Close() })
	}
}

// stage is where a client leaves its request.
type stage struct {
	name   string
	behind string // what it has sent behind the request
	drain  bool
	dial   bool // while a connection is dialled
}

func stages() (out []stage) {
	for name, behind := range map[string]string{"nothing": "", "a byte": "x", "noise": strings.Repeat("noise", 9000)} {
		out = append(out, stage{name: "asking, " + name, behind: behind}, stage{name: "draining, " + name, behind: behind, drain: true},
			stage{name: "dialling, " + name, behind: behind, dial: true})
	}
	return out
}

// leave has a client leave in a stage, and returns how long it took until nothing was out for it any more.
func (s stage) leave(tb testing.TB, n int) time.Duration {
	ended := make(chan struct{}, 10)
	came := make(chan struct{}, 10)
	addr := ""
	if s.dial {
		addr = hungListener(tb).Addr().String()
	} else {
		addr = backendtest.Start(tb, func(w io.Writer, _ *http.Request, _ int) bool {
			came <- struct{}{}
			_, _ = w.(net.Conn).Read(make([]byte, 1))
			ended <- struct{}{}
			return false
		}).Addr
	}
	p := startProxy(tb, startDiscovery(tb).addr, 200, listText(1, true, listed("a", addr, "SERVING")))
	c := connect(tb, p)
	c.send(tb, look(fmt.Sprint(n), 8000))
	requests := func() int { return p.tier().pool.Stats().Requests }
	waitUntil(tb, func() bool { return requests() == 1 })
	if !s.dial {
		wait(tb, "request", came)
	}
	if s.drain {
		p.stop()
		waitUntil(tb, func() bool { return p.stats().Draining })
	}
	c.send(tb, s.behind)
	at := time.Now()
	c.Close()
	if !s.dial {
		wait(tb, "end of the attempt", ended)
	}
	waitUntil(tb, func() bool { return requests() == 0 })
	return time.Since(at)
}

// A client that leaves while its request waits takes it along, whatever it has sent behind it.
func TestAClientThatLeavesTakesItsRequestAlong(t *testing.T) {
	for n, s := range stages() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			s.leave(t, n)
		})
	}
}

// The attempt that a departure ends is a failed one, and the class may be repeated: no other follows it.
func TestNoAttemptFollowsADeparture(t *testing.T) {
	came := make(chan struct{}, 10)
	reply := func(w io.Writer, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id") != "1" {
			_, err := io.WriteString(w, served)
			return err == nil
		}
		came <- struct{}{}
		_, _ = w.(net.Conn).Read(make([]byte, 1)) // until the attempt is ended
		return false
	}
	a, b := backendtest.Start(t, reply), backendtest.Start(t, reply)
	p := startProxy(t, startDiscovery(t).addr, 200, listText(1, true, listed("a", a.Addr, "SERVING"), listed("b", b.Addr, "SERVING")))
	c, other := connect(t, p), connect(t, p)
	c.send(t, look("1", 8000)+"x")
	wait(t, "request", came)
	c.Close()
	waitUntil(t, func() bool { return p.tier().pool.Stats().Requests == 0 })
	other.send(t, look("2", 8000))
	if resp, body := other.answer(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s", resp.Status)
	}
	if n := a.Requests.Load() + b.Requests.Load(); n != 2 {
		t.Errorf("%d requests came for two clients", n)
	}
}

// BenchmarkDepartures measures in how many of many departures nothing was out any more within the 0.3 s that the operators state.
func BenchmarkDepartures(b *testing.B) {
	for _, s := range stages() {
		b.Run(strings.ReplaceAll(s.name, ", ", "/"), func(b *testing.B) {
			within, worst := 0, time.Duration(0)
			for n := range b.N {
				took := s.leave(b, n)
				if worst = max(worst, took); took <= 300*time.Millisecond {
					within++
				}
			}
			b.ReportMetric(float64(within)/float64(b.N), "in-time")
			b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
		})
	}
}

// Many clients that send much and go cost the others nothing, and leave nothing behind.
func TestManyThatSendMuchAndGoLeaveNothing(t *testing.T) {
	p, _ := serving(t, func(w io.Writer, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id") == "usual" {
			_, err := io.WriteString(w, served)
			return err == nil
		}
		_, _ = w.(net.Conn).Read(make([]byte, 1)) // until the attempt is ended
		return false
	})
	for round := range 5 {
		for i := range 20 {
			c := connect(t, p)
			c.send(t, look(fmt.Sprint(round, "-", i), 8000)+strings.Repeat(look("more", 8000), 100*(i%3)))
			c.Close()
		}
		usual := connect(t, p)
		usual.send(t, look("usual", 8000))
		if resp, body := usual.answer(t); resp.StatusCode != 200 || body != "ok" {
			t.Errorf("round %d: got %s", round, resp.Status)
		}
		usual.Close()
		waitUntil(t, func() bool { return p.stats().Open == 0 && p.tier().pool.Stats().Requests == 0 })
	}
}
