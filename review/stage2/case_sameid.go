package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["sameid"] = playSameID }

// playSameID plays usual clients, and beside them a bad client that sends the ID of an open request
// with a body of its own. In the first ten rounds the usual client writes slowly and the bad one comes
// once, before its last bytes; in five more it writes at once, and the bad one sends the same again as
// soon as it is turned away, until a second after the usual client has its answer.
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
	for n := range 15 {
		pause := []time.Duration{400 * time.Millisecond, 800 * time.Millisecond}[n%2]
		repeats := n >= 10
		if repeats {
			pause = 0
		}
		usual := newRequest("charge-post", 4*time.Second, "", []byte(fmt.Sprintf(`{"charge":%d,"account":"subscriber"}`, 100+n)))
		bad := *usual
		bad.body = []byte(`{"charge":9999,"account":"other"}`)
		var badAnswer answer
		var tries int
		var other sync.WaitGroup
		ended := make(chan struct{})
		if s.trouble {
			other.Go(func() {
				if !repeats {
					time.Sleep(200 * time.Millisecond)
					badAnswer, tries = p.ask(&bad), 1
					return
				}
				time.Sleep(50 * time.Millisecond)
				badAnswer, tries = p.askAgain(&bad, ended)
			})
		}
		usualAnswer := p.askSlowly(usual, pause)
		time.AfterFunc(time.Second, func() { close(ended) })
		other.Wait()
		mu.Lock()
		got := bodies[usual.id]
		mu.Unlock()
		s.note("round %d, request %s: the usual client gets %v, the bad client's last of %d tries %v; backends got %q",
			n, usual.id, usualAnswer, tries, badAnswer, got)
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
	if pause == 0 {
		_, err = c.Write(whole)
	} else if _, err = c.Write(whole[:len(whole)-10]); err == nil {
		time.Sleep(pause)
		_, err = c.Write(whole[len(whole)-10:])
	}
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	status, body, err := readAnswer(bufio.NewReader(c))
	return answer{status: status, body: body, err: err, took: time.Since(began)}
}

// askAgain sends a request again as soon as it is turned away, until it is not or the channel is closed.
// It returns the last answer and the number of tries.
func (p *proxy) askAgain(r *request, ended <-chan struct{}) (answer, int) {
	for tries := 1; ; tries++ {
		a := p.ask(r)
		if a.status < 400 || a.status >= 500 {
			return a, tries
		}
		select {
		case <-ended:
			return a, tries
		case <-time.After(2 * time.Millisecond):
		}
	}
}
