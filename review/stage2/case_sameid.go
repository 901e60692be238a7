package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["sameid"] = playSameID }

// playSameID plays usual clients that write their requests slowly, and beside them a bad client that
// sends the ID of such an open request with a body of its own.
func playSameID(s *stage) bool {
	var mu sync.Mutex
	bodies := map[string][]string{} // what the backends got, by Request-Id
	handle := func(b *backend, c *call) bool {
		id := c.Header.Get("Request-Id")
		mu.Lock()
		bodies[id] = append(bodies[id], string(c.body))
		mu.Unlock()
		s.detail("%s begins request %s %s", b.name, id, c.body)
		time.Sleep(300 * time.Millisecond)
		return c.serveWith("posted " + string(c.body))
	}
	var list []object
	for i := range 10 {
		list = append(list, s.startBackend(fmt.Sprintf("s-%d", i), 1+i/5, "", handle).entry())
	}
	p := s.startProxy(s.startAgent(list).address, 192, 1024, settings(siteClasses()))
	held := true
	for n := range 10 {
		pause := 400 * time.Millisecond
		if n%2 == 1 {
			pause = 800 * time.Millisecond
		}
		usual := newRequest("charge-post", 4*time.Second, "", []byte(fmt.Sprintf(`{"charge":%d,"account":"subscriber"}`, 100+n)))
		bad := *usual
		bad.body = []byte(`{"charge":9999,"account":"other"}`)
		var badAnswer answer
		var other sync.WaitGroup
		if s.trouble {
			other.Go(func() {
				time.Sleep(200 * time.Millisecond)
				badAnswer = p.ask(&bad)
			})
		}
		usualAnswer := p.askSlowly(usual, pause)
		other.Wait()
		mu.Lock()
		got := bodies[usual.id]
		mu.Unlock()
		s.note("round %d, request %s: the usual client gets %v, the bad client %v; backends got %q",
			n, usual.id, usualAnswer, badAnswer, got)
		switch {
		case badAnswer.status == 200:
			s.note("the bad client was served: %q", badAnswer.body)
			held = false
		case len(got) > 1, len(got) == 1 && got[0] != string(usual.body):
			s.note("a backend got what the usual client has not sent")
			held = false
		case usualAnswer.status == 200 && usualAnswer.body != "posted "+string(usual.body):
			s.note("the usual client got another answer than its own: %q", usualAnswer.body)
			held = false
		case usualAnswer.status != 200 && !s.trouble:
			held = false
		}
	}
	return held
}

// askSlowly sends a request in two parts, with a pause before the last bytes of its body, and waits
// for the answer.
func (p *proxy) askSlowly(r *request, pause time.Duration) answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(pause + r.timeout + 500*time.Millisecond))
	whole := r.encode()
	if _, err := c.Write(whole[:len(whole)-10]); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	time.Sleep(pause)
	if _, err := c.Write(whole[len(whole)-10:]); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	status, body, err := readAnswer(bufio.NewReader(c))
	return answer{status: status, body: body, err: err, took: time.Since(began)}
}
