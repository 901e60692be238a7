package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["address"] = playAddress }

// playAddress plays keyed requests, whose repeats the backends of one cell drop, while a backend is
// replaced by a new one of another cell, with a new name, at the address of the one that is gone.
func playAddress(s *stage) bool {
	book := newLedger(7500 * time.Millisecond)
	var resets atomic.Int64
	var listed atomic.Bool // the agent has had the new backend for the grace of the drain rule
	handle := func(b *backend, c *call) bool {
		book.begin(b, fmt.Sprint("cell ", b.cell), c)
		if b.name == "t-0" && listed.Load() && resets.Add(1) <= 5 {
			time.Sleep(100 * time.Millisecond)
			s.note("%s, cell %d: connection reset under request %s, key %s, which has begun", b.name, b.cell,
				c.Header.Get("Request-Id"), c.Header.Get("Idempotency-Key"))
			reset(c.conn)
			return false
		}
		time.Sleep(300 * time.Millisecond)
		return c.serveWith("rated " + c.Header.Get("Request-Id"))
	}
	var backends []*backend
	for i := range 10 {
		backends = append(backends, s.startBackend(fmt.Sprintf("s-%d", i), 1+i/5, "", handle))
	}
	entries := func(all ...*backend) (list []object) {
		for _, b := range all {
			list = append(list, b.entry())
		}
		return list
	}
	a := s.startAgent(entries(backends...))
	p := s.startProxy(a.address, 192, 1024, settings(siteClasses()))

	var broken, served, others atomic.Int64
	var clients sync.WaitGroup
	client := func(n int) {
		r := newRequest("usage-rate", 5*time.Second, fmt.Sprintf("record-%d", n), []byte("{}"))
		got := p.ask(r)
		s.detail("key %s, request %s: %v", r.key, r.id, got)
		if got.status == 200 {
			served.Add(1)
		} else {
			others.Add(1)
		}
		if effects := book.of(r.key); len(effects) > 1 {
			broken.Add(1)
			s.note("key %s, one request %s: its effect happened %d times, at %s (%s) and %.3f s later at %s (%s)", r.key,
				r.id, len(effects), effects[0].backend, effects[0].group, effects[1].at.Sub(effects[0].at).Seconds(),
				effects[1].backend, effects[1].group)
		}
	}
	if s.trouble {
		gone := backends[0]
		time.AfterFunc(3*time.Second, func() {
			s.note("%s, cell %d, dies", gone.name, gone.cell)
			gone.die()
			time.Sleep(20 * time.Millisecond)
			next := s.startBackend("t-0", 2, gone.address, handle)
			next.since = time.Now().UnixMilli()
			s.note("%s, cell %d, starts at its address", next.name, next.cell)
			time.Sleep(time.Second)
			a.set(entries(append([]*backend{next}, backends...)...))
			time.AfterFunc(300*time.Millisecond, func() { listed.Store(true) })
			s.note("the list has %s; that %s is gone has not been noticed", next.name, gone.name)
			time.Sleep(3 * time.Second)
			a.set(entries(append([]*backend{next}, backends[1:]...)...))
			s.note("the list has %s no more", gone.name)
		})
	}
	for n := range 300 { // 30 a second for 10 s
		clients.Go(func() { client(n) })
		time.Sleep(time.Second / 30)
	}
	clients.Wait()
	s.note("300 requests: %d served, %d other answers; %d took effect twice", served.Load(), others.Load(), broken.Load())
	return broken.Load() == 0
}
