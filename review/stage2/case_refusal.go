package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["refusal"] = playRefusal }

// playRefusal plays keyed requests whose backends all drop a repeated key for two seconds, while one
// of ten backends takes requests and answers none. A client tries again only after a refusal.
func playRefusal(s *stage) bool {
	const window = 2 * time.Second
	classes := siteClasses()
	classes[1].scope, classes[1].window = "all", int(window.Milliseconds())
	book := newLedger(window + 50*time.Millisecond)
	var hangFrom, hangUntil time.Time
	var hung atomic.Pointer[backend]
	var mu sync.Mutex // guards hangFrom and hangUntil
	isHung := func(b *backend) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if hangFrom.IsZero() || now.Before(hangFrom) || now.After(hangUntil) {
			return false
		}
		if hung.CompareAndSwap(nil, b) { // the first backend that gets a request from now on
			s.note("backend %s takes requests and answers none until %.1f s", b.name, hangUntil.Sub(s.began).Seconds())
		}
		return hung.Load() == b
	}
	handle := func(b *backend, c *call) bool {
		book.begin(b, "all", c)
		if isHung(b) {
			s.detail("backend %s begins request %s, key %s, and does not answer", b.name, c.Header.Get("Request-Id"),
				c.Header.Get("Idempotency-Key"))
			_, _ = c.conn.Read(make([]byte, 1)) // until the proxy gives up
			return false
		}
		time.Sleep(350 * time.Millisecond)
		return c.serveWith("rated " + c.Header.Get("Request-Id"))
	}
	var list []object
	for i := range 10 {
		list = append(list, s.startBackend(fmt.Sprintf("s-%d", i), 1+i/5, "", handle).entry())
	}
	p := s.startProxy(s.startAgent(list).address, 192, 1024, settings(classes))

	var broken, refused, served, failed, tried atomic.Int64
	client := func(n int) {
		key := fmt.Sprintf("record-%d", n)
		first := newRequest("usage-rate", 3*time.Second, key, []byte("{}"))
		a := p.ask(first)
		s.detail("key %s, request %s: %v", key, first.id, a)
		switch {
		case a.status == 200:
			served.Add(1)
			return
		case !a.isRefusal():
			failed.Add(1)
			return // a failure promises nothing
		}
		refused.Add(1)
		time.Sleep(100 * time.Millisecond)
		tried.Add(1)
		again := newRequest("usage-rate", 5*time.Second-a.took-100*time.Millisecond, key, []byte("{}"))
		a2 := p.ask(again)
		s.detail("key %s, again as request %s: %v", key, again.id, a2)
		if effects := book.of(key); len(effects) > 1 {
			broken.Add(1)
			s.note("key %s: refused after %.3f s (%v); its effect happened %d times: at %s for request %s, and %.3f s later at %s for request %s",
				key, a.took.Seconds(), a, len(effects), effects[0].backend, effects[0].request,
				effects[1].at.Sub(effects[0].at).Seconds(), effects[1].backend, effects[1].request)
		}
	}
	var clients sync.WaitGroup
	if s.trouble {
		mu.Lock()
		hangFrom = time.Now().Add(4 * time.Second)
		hangUntil = hangFrom.Add(12 * time.Second)
		mu.Unlock()
	}
	for n := range 100 { // 5 a second for 20 s
		clients.Go(func() { client(n) })
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	s.note("100 keys: %d served, %d failed, %d refused, %d tried again after it; %d took effect twice",
		served.Load(), failed.Load(), refused.Load(), tried.Load(), broken.Load())
	return broken.Load() == 0
}
