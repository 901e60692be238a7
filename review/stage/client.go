package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Kind is a class of requests.
type Kind struct {
	Name, Effect string // safe, keyed or unsafe
	Deadline     time.Duration
	Window       time.Duration
}

// Request is a client's request and how it ended.
type Request struct {
	ID, Key string
	Kind    *Kind
	Timeout time.Duration
	Sent    time.Time // when its last byte was written
	Left    time.Time // when the client closed the connection early; zero if it did not
	Ended   time.Time
	Status  int    // 0 if there was no whole answer
	Lost    string // why there was no whole answer
	Wrong   bool   // a 200 whose body no backend made for it
	Fresh   bool   // the first request of its connection
	Proxy   string
}

// Clients keeps connections to one proxy.
type Clients struct {
	world *World
	mu    sync.Mutex
	idle  map[string][]*clientConn
	all   []*Request
	wg    sync.WaitGroup
}

type clientConn struct {
	net.Conn
	r    *bufio.Reader
	used bool
}

func newClients(w *World) *Clients { return &Clients{world: w, idle: map[string][]*clientConn{}} }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (k *Clients) take(addr string) *clientConn {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	k.idle[addr] = list[:len(list)-1]
	return c
}

func (k *Clients) put(addr string, c *clientConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle[addr] = append(k.idle[addr], c)
}

var tenants = []string{"bayan-mobile", "isla-tel", "luzon-wireless", "visayas-cell", "mindanao-net"}

func encode(q *Request, body []byte) []byte {
	var b bytes.Buffer
	method := "POST"
	if q.Kind.Effect == "safe" {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n", method, q.Kind.Name, newID(), q.ID, q.Kind.Name)
	fmt.Fprintf(&b, "Tenant: %s\r\nRequest-Timeout-Ms: %d\r\n", tenants[rand.IntN(len(tenants))], q.Timeout.Milliseconds())
	if q.Kind.Effect == "keyed" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.Key)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if method == "POST" {
		b.Write(body)
	}
	return b.Bytes()
}

// do sends one request and waits for its answer. leaveAfter closes the connection early if it is
// positive.
func (k *Clients) do(addr string, kind *Kind, timeout, leaveAfter time.Duration, body []byte) *Request {
	q := &Request{ID: newID(), Key: newID() + newID(), Kind: kind, Timeout: timeout, Proxy: addr}
	for try := 0; try < 2; try++ {
		var c *clientConn
		if try == 0 {
			c = k.take(addr)
		}
		q.Fresh = c == nil
		if c == nil {
			netConn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				q.Lost, q.Ended = "could not connect", time.Now()
				break
			}
			c = &clientConn{Conn: netConn, r: bufio.NewReaderSize(netConn, 128<<10)}
		}
		_, err := c.Write(encode(q, body))
		q.Sent = time.Now()
		if err != nil {
			_ = c.Close()
			q.Lost = "write: " + err.Error()
			continue
		}
		k.await(q, c, addr, leaveAfter)
		// A close between requests that crossed this one: the client sends it once more, PROTOCOL.
		if q.Status != 0 || !q.Left.IsZero() || q.Fresh || q.Lost == "late" {
			break
		}
	}
	if q.Ended.IsZero() {
		q.Ended = time.Now()
	}
	k.mu.Lock()
	k.all = append(k.all, q)
	k.mu.Unlock()
	k.world.log("client   %s %s sent %s to %s, waits %v: %s", kind.Name, q.ID, strings.TrimSpace(k.world.at(q.Sent)), addr, timeout, q.outcome())
	return q
}

func (q *Request) outcome() string {
	switch {
	case !q.Left.IsZero():
		return "client left"
	case q.Wrong:
		return fmt.Sprintf("%d with a foreign body", q.Status)
	case q.Status != 0:
		return fmt.Sprintf("%d after %.3f s", q.Status, q.Ended.Sub(q.Sent).Seconds())
	}
	return fmt.Sprintf("no answer (%s) after %.3f s", q.Lost, q.Ended.Sub(q.Sent).Seconds())
}

// graceAfterDeadline is how late an answer may come: half a second (STANDING) and the protocol's 50 ms.
const graceAfterDeadline = 550 * time.Millisecond

func (k *Clients) await(q *Request, c *clientConn, addr string, leaveAfter time.Duration) {
	wait := q.Timeout + graceAfterDeadline
	if leaveAfter > 0 {
		wait = min(wait, leaveAfter)
	}
	_ = c.SetReadDeadline(q.Sent.Add(wait))
	resp, err := http.ReadResponse(c.r, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	q.Ended = time.Now()
	if err != nil {
		_ = c.Close()
		var netErr net.Error
		timedOut := errors.As(err, &netErr) && netErr.Timeout()
		switch {
		case timedOut && leaveAfter > 0 && leaveAfter < q.Timeout+graceAfterDeadline:
			q.Left = time.Now()
		case timedOut:
			q.Lost = "late"
		default:
			q.Lost = err.Error()
		}
		return
	}
	q.Lost, q.Status = "", resp.StatusCode
	q.Wrong = resp.StatusCode == 200 && !isAnswerFor(body, q.ID)
	if resp.Close {
		_ = c.Close()
		return
	}
	c.used = true
	_ = c.SetReadDeadline(time.Time{})
	k.put(addr, c)
}

func isAnswerFor(body []byte, id string) bool {
	line := "answer for " + id + "\n"
	return len(body) > 0 && len(body)%len(line) == 0 && string(body) == strings.Repeat(line, len(body)/len(line))
}
