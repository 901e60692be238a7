package main

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["options"] = playOptions }

// playOptions plays usual clients, and beside them a bad client whose requests have no ID and no
// class. They are owed an error or a close, and no answer that says that they were served.
func playOptions(s *stage) bool {
	var arrived atomic.Int64
	handle := func(_ *backend, c *call) bool {
		arrived.Add(1)
		s.detail("backend gets %s %s, request %q", c.Method, c.RequestURI, c.Header.Get("Request-Id"))
		return c.serveWith("done " + c.Header.Get("Request-Id"))
	}
	var list []object
	for _, name := range []string{"s-0", "s-1", "s-2", "s-3"} {
		list = append(list, s.startBackend(name, 1, "", handle).entry())
	}
	p := s.startProxy(s.startAgent(list).address, 192, 1024, settings(siteClasses()))
	held := true
	usual := func(n int) {
		r := newRequest("tariff-lookup", 4*time.Second, "", nil)
		a := p.ask(r)
		s.detail("usual client, request %s: %v", r.id, a)
		if a.status != 200 || a.body != "done "+r.id {
			s.note("usual client %d: %v %q", n, a, a.body)
			held = false
		}
	}
	requests := []string{
		"GET /tariff-lookup/7f3a HTTP/1.1\r\nHost: backend.local\r\nRequest-Timeout-Ms: 4000\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: backend.local\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: backend.local\r\nRequest-Class: charge-post\r\nTenant: isla-tel\r\n" +
			"Request-Timeout-Ms: 4000\r\nContent-Length: 14\r\n\r\n{\"charge\":1200",
	}
	for n := range 10 {
		usual(n)
	}
	if !s.trouble {
		return held
	}
	for _, text := range requests {
		line, _, _ := strings.Cut(text, "\r\n")
		before := arrived.Load()
		status, err := p.tell(text)
		s.note("bad client, no Request-Id: %q: answer %d, error %v; %d requests reached a backend",
			line, status, err, arrived.Load()-before)
		if status >= 200 && status < 400 || arrived.Load() != before {
			held = false
		}
	}
	for n := range 10 {
		usual(n)
	}
	return held
}

// tell sends a text on a new connection and returns the status of the answer, 0 if none came within
// 3 s.
func (p *proxy) tell(text string) (int, error) {
	c, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := c.Write([]byte(text)); err != nil {
		return 0, err
	}
	status, _, err := readAnswer(bufio.NewReader(c))
	return status, err
}
