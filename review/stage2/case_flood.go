package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["flood"] = playFlood }

const (
	floodClients = 320    // and 20 usual ones: no more than a third of the descriptors are used for requests
	floodHead    = 16_000 // bytes of fields; the proxy takes heads of 16 KiB
	floodTime    = 15 * time.Second

	// answerSlack is how long after its time a request may get its answer: half a second, and 50 ms more
	// on sockets.
	answerSlack = 550 * time.Millisecond
	// drainSlack is the grace of the drain rule, 50 ms more on sockets, and 100 ms for this program, which
	// may be late to see what has come.
	drainSlack = 400 * time.Millisecond
	// goneSlack is the bound on attempts for clients that have left, with the same additions.
	goneSlack = 250 * time.Millisecond
)

// floodPlay is what clients and backends saw.
type floodPlay struct {
	stage *stage
	proxy *proxy
	stop  chan struct{}

	served, refused, failed, lost, unread, turnedAway atomic.Int64

	mu      sync.Mutex
	closed  map[string]time.Time // when a client that gave up closed its connection, by Request-Id
	drained map[string]time.Time // when the agent was sent that a backend drains, by its name
	drains  int                  // requests to a backend that drains, later than drainSlack
	gone    int                  // attempts for a client that has left, later than goneSlack
}

// playFlood plays usual clients, some of which give up early, and a drain every 1.5 s, and beside them bad
// clients that send long heads with a class that does not exist, and the same again as soon as they are
// turned away.
func playFlood(s *stage) bool {
	f := &floodPlay{
		stage: s, stop: make(chan struct{}), closed: map[string]time.Time{}, drained: map[string]time.Time{},
	}
	var backends []*backend
	for i := range 10 {
		backends = append(backends, s.startBackend(fmt.Sprintf("s-%d", i), 1+i/5, "", f.handle))
	}
	entries := func(draining int) (list []object) {
		for i, b := range backends {
			e := b.entry()
			if i == draining {
				e["status"] = "DRAINING"
			}
			list = append(list, e)
		}
		return list
	}
	a := s.startAgent(entries(-1))
	f.proxy = s.startProxy(a.address, 192, 1024, settings(siteClasses()))
	var all sync.WaitGroup
	if s.trouble {
		s.note("%d bad clients begin", floodClients)
		for range floodClients {
			all.Go(f.bother)
		}
	}
	for n := range 20 {
		all.Go(func() { f.useAsUsual(n) })
	}
	for i, began := 0, time.Now(); time.Since(began) < floodTime; i = (i + 1) % len(backends) {
		time.Sleep(1500 * time.Millisecond)
		a.set(entries(i))
		f.mu.Lock()
		clear(f.drained)
		f.drained[backends[i].name] = time.Now()
		f.mu.Unlock()
	}
	close(f.stop)
	all.Wait()
	s.note("usual clients: %d served, %d refused, %d failed, %d closed unread or reset, %d without an answer %v after their time",
		f.served.Load(), f.refused.Load(), f.failed.Load(), f.unread.Load(), f.lost.Load(), answerSlack)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.note("seen beside it, and not judged: %d requests to a backend over %v after the agent had that it drains; "+
		"%d of %d clients that gave up early had an attempt begin over %v after; bad clients were turned away %d times",
		f.drains, drainSlack, f.gone, len(f.closed), goneSlack, f.turnedAway.Load())
	return f.lost.Load() == 0
}

// handle answers a request after 50 ms.
func (f *floodPlay) handle(b *backend, c *call) bool {
	id, now := c.Header.Get("Request-Id"), time.Now()
	f.mu.Lock()
	if at, ok := f.drained[b.name]; ok && now.Sub(at) > drainSlack {
		f.drains++
		f.stage.detail("%s gets %s %.3f s after the agent had that it drains", b.name, id, now.Sub(at).Seconds())
	}
	if at, ok := f.closed[id]; ok && now.Sub(at) > goneSlack {
		f.gone++
		f.stage.detail("%s gets %s %.3f s after its client had gone", b.name, id, now.Sub(at).Seconds())
	}
	f.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	return c.serveWith("done " + id)
}

// bother is a bad client.
func (f *floodPlay) bother() {
	var fields strings.Builder
	for i := 0; fields.Len() < floodHead; i++ {
		fmt.Fprintf(&fields, "x%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	text := []byte("GET /unknown/1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Class: unknown\r\n" + fields.String() + "\r\n")
	for {
		select {
		case <-f.stop:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", f.proxy.address, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err := c.Write(text); err == nil {
			if status, _, _ := readAnswer(bufio.NewReader(c)); status >= 400 {
				f.turnedAway.Add(1)
			}
		}
		_ = c.Close()
	}
}

// useAsUsual is a usual client: one small request every 0.1 s, each on a new connection. Every fourth
// client gives up after 20 ms; of the others every second has 0.48 s for its request, the rest 1.7 s.
func (f *floodPlay) useAsUsual(n int) {
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		timeout := 1700 * time.Millisecond
		if n%2 == 1 {
			timeout = 480 * time.Millisecond
		}
		r := newRequest("tariff-lookup", timeout, "", nil)
		c, err := net.DialTimeout("tcp", f.proxy.address, time.Second)
		if err != nil {
			f.unread.Add(1)
			continue
		}
		if n%4 == 0 {
			_, _ = c.Write(r.encode())
			time.Sleep(20 * time.Millisecond)
			f.mu.Lock()
			f.closed[r.id] = time.Now()
			f.mu.Unlock()
			_ = c.Close()
			continue
		}
		f.judge(r, c)
		_ = c.Close()
	}
}

// judge sends a request and counts what became of it. A connection that the proxy closes without an
// answer is not counted as lost: nobody outside can tell whether the request had been read.
func (f *floodPlay) judge(r *request, c net.Conn) {
	if _, err := c.Write(r.encode()); err != nil {
		f.unread.Add(1)
		return
	}
	sent := time.Now()
	_ = c.SetDeadline(sent.Add(r.timeout + answerSlack))
	status, _, err := readAnswer(bufio.NewReader(c))
	got := answer{status: status, err: err, took: time.Since(sent)}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.lost.Add(1)
		f.stage.detail("request %s, %.2f s to go: %v, and its connection is open", r.id, r.timeout.Seconds(), got)
	case err != nil:
		f.unread.Add(1)
	case status == 200:
		f.served.Add(1)
	case got.isRefusal():
		f.refused.Add(1)
	default:
		f.failed.Add(1)
	}
}
