package main

import (
	"io"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/standin"
)

const (
	largeResponse  = 1 << 20 // largest response that the platform's proxy forwards
	mediumResponse = 64 << 10
	rounds         = 3 // in which the connections of all rows are opened anew
)

// Fields of a request that tell scriptedBackend what to do.
const (
	sizeField = "Response-Size" // size of the response body
	holdField = "Hold"          // no response
)

// scriptedBackend responds as the fields of a request say.
func scriptedBackend(c *standin.Call) bool {
	if c.Header.Get(holdField) != "" {
		return standin.Hang(c)
	}
	size, _ := strconv.Atoi(c.Header.Get(sizeField))
	if size == 0 {
		return slowBackend(c)
	}
	return c.Reply(200, "", make([]byte, size)) == nil
}

// memoryRow is a kind of connection that makes the process hold memory. Its client sends and then
// neither reads nor closes.
type memoryRow struct {
	percent int // of the client connections
	text    func(p *platformProcess) string
}

// memoryRows returns all rows. Together they fill nearly all client connections.
func memoryRows() []memoryRow {
	body, length := strings.Repeat("x", maxBody), "Content-Length: "+strconv.Itoa(maxBody)+"\r\n"
	pipelined := strings.Repeat("x", 64<<10)
	look := func(p *platformProcess, fields ...string) string { return p.head("GET", "look", fields...) + "\r\n" }
	return []memoryRow{
		{20, func(p *platformProcess) string {
			return p.head("POST", "post", length, holdField+": 1\r\n") + "\r\n" + body
		}},
		{15, func(p *platformProcess) string { return look(p, holdField+": 1\r\n", longField()) + pipelined }},
		{10, func(p *platformProcess) string { return look(p, sizeField+": "+strconv.Itoa(largeResponse)+"\r\n") }},
		{15, func(p *platformProcess) string { return look(p, sizeField+": "+strconv.Itoa(mediumResponse)+"\r\n") }},
		{10, func(p *platformProcess) string { return p.head("POST", "post", length) + "\r\n" + body[1:] }},
		{10, func(p *platformProcess) string { return p.head("GET", "look", longField()) }},
		{10, func(*platformProcess) string { return "" }},
	}
}

// openRows opens the connections of all rows. The returned function closes them.
func (p *platformProcess) openRows(clients int) (closeAll func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var all sync.WaitGroup
	for _, row := range memoryRows() {
		for range clients * row.percent / 100 {
			all.Go(func() {
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					return // the process has no room for the connection
				}
				mu.Lock()
				conns = append(conns, c)
				mu.Unlock()
				_ = c.SetWriteDeadline(time.Now().Add(eventTimeout))
				_, _ = io.WriteString(c, row.text(p)) // the process may close the connection
			})
		}
	}
	all.Wait()
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// Clients that do not read their large responses do not take the process beyond its memory limit:
// the responses were not counted once they had been read from the backend.
func TestUnreadResponsesStayWithinMemoryLimit(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "fernlanding")
	p := startPlatformProcess(t, program, processLimits{memoryMB: 32, sockets: 1024}, scriptedBackend)
	text := func() string {
		return p.head("GET", "look", sizeField+": "+strconv.Itoa(largeResponse)+"\r\n") + "\r\n"
	}
	var conns []net.Conn
	for range p.limits.sockets / requestFraction {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	for _, c := range conns {
		if _, err := io.WriteString(c, text()); err != nil {
			t.Fatal(err)
		}
	}
	// While these clients wait, another one gets its small response, and then a large one.
	for _, size := range []int{0, largeResponse} {
		fields := sizeField + ": " + strconv.Itoa(size) + "\r\n"
		waitUntil(t, "another client is served", func() bool {
			status, err := p.send(p.head("GET", "look", fields) + "\r\n")
			return err == nil && status == 200
		})
	}
	p.checkMemory(t)
}

// With every kind of memory that clients can claim taken at once, again and again, the process stays
// within its limit and answers usual requests. It passed the limit and was killed (issue 61).
func TestProcessStaysWithinMemoryLimit(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "fernlanding")
	for _, limits := range []processLimits{{32, 256}, {32, 1024}, {64, 1024}, {192, 1024}} {
		t.Run(limits.String(), func(t *testing.T) {
			p := startPlatformProcess(t, program, limits, scriptedBackend)
			clients := limits.sockets - limits.sockets/3*4/3 - 32 - usualClients // as config.App.Descriptors divides
			for range rounds {
				closeAll := p.openRows(clients)
				var usual sync.WaitGroup
				for range usualClients {
					usual.Go(func() {
						for range 10 {
							p.sendUsualRequest(t)
						}
					})
				}
				usual.Wait()
				closeAll()
			}
			p.checkMemory(t)
		})
	}
}
