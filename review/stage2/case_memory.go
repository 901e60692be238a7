package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryLimitMB = 64
	descriptors   = 1024
	badClients    = 330    // and ten usual ones: no more than a third of the descriptors are used for requests
	longHead      = 15_800 // bytes of fields; the proxy takes heads of 16 KiB
)

// playMemory plays usual clients, and beside them bad clients that stop in the middle of a request
// and stay. The platform kills the proxy if it takes more memory than its limit.
func playMemory(s *stage) bool {
	handle := func(_ *backend, c *call) bool {
		time.Sleep(200 * time.Millisecond)
		return c.serveWith("done " + c.Header.Get("Request-Id"))
	}
	var list []object
	for i := range 10 {
		list = append(list, s.startBackend(fmt.Sprintf("s-%d", i), 1+i/5, "", handle).entry())
	}
	p := s.startProxy(s.startAgent(list).address, memoryLimitMB, descriptors, settings(siteClasses()))

	var peak, killedAt atomic.Int64
	over := make(chan struct{})
	go func() { // the platform
		for {
			memory := p.privateMemory()
			peak.Store(max(peak.Load(), memory))
			if memory > memoryLimitMB<<20 {
				killedAt.Store(time.Since(s.began).Milliseconds())
				s.note("the proxy holds %.1f MB without files, over its limit of %d MB: the platform kills it",
					float64(memory)/(1<<20), memoryLimitMB)
				_ = p.command.Process.Kill()
				close(over)
				return
			}
			select {
			case <-p.exited:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()

	var usual, bad sync.WaitGroup
	var served, other, lost atomic.Int64
	stop := make(chan struct{})
	for n := range 10 { // usual clients, each one request at a time
		usual.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-over:
					return
				case <-time.After(300 * time.Millisecond):
				}
				r := newRequest(siteClasses()[n%3].name, 4*time.Second, "", []byte("{}"))
				if r.class == "usage-rate" {
					r.key = "record-" + r.id
				}
				if r.class == "tariff-lookup" {
					r.body = nil
				}
				a := p.ask(r)
				s.detail("%s %s: %v", r.class, r.id, a)
				switch a.status {
				case 200:
					served.Add(1)
				case 0:
					lost.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		var closedOrError atomic.Int64
		s.note("%d clients begin a request and stop in the middle of its body", badClients)
		for range badClients {
			bad.Go(func() {
				if p.stopInTheMiddle() {
					closedOrError.Add(1)
				}
			})
		}
		bad.Wait()
		s.note("%d of %d got an error or a close within 3 s", closedOrError.Load(), badClients)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	usual.Wait()
	s.note("usual clients: %d served, %d other answers, %d without any; the proxy's peak was %.1f MB of %d MB",
		served.Load(), other.Load(), lost.Load(), float64(peak.Load())/(1<<20), memoryLimitMB)
	if killedAt.Load() == 0 {
		select {
		case <-p.exited:
			s.note("the proxy ended by itself")
			return false
		default:
		}
	}
	return killedAt.Load() == 0
}

// stopInTheMiddle sends a head and all of a body but its last byte, at full speed, and reads until an
// error or a close comes.
func (p *proxy) stopInTheMiddle() bool {
	began := time.Now()
	c, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(3 * time.Second))
	r := newRequest("charge-post", 4*time.Second, "", bytes.Repeat([]byte{'x'}, 64<<10))
	whole := r.encode()
	var fields strings.Builder
	for i := 0; fields.Len() < longHead; i++ {
		fmt.Fprintf(&fields, "x%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	whole = bytes.Replace(whole, []byte("\r\n\r\n"), []byte("\r\n"+fields.String()+"\r\n"), 1)
	if _, err := c.Write(whole[:len(whole)-1]); err != nil {
		return true
	}
	status, _, err := readAnswer(bufio.NewReader(c))
	if err != nil {
		timeout, ok := err.(net.Error)
		return !ok || !timeout.Timeout()
	}
	return status >= 400
}
