package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// request is a request of a client.
type request struct {
	class, tenant, id, key string
	timeout                time.Duration
	body                   []byte
	number                 int64
}

// newRequest returns a request with a new ID.
func newRequest(class string, timeout time.Duration, key string, body []byte) *request {
	n := lastRequest.Add(1)
	return &request{
		class: class, tenant: tenantNames[int(n)%len(tenantNames)], key: key, timeout: timeout, body: body, number: n,
		id: fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), uint32(n)),
	}
}

// encode returns the request's bytes.
func (r *request) encode() []byte {
	var b bytes.Buffer
	method := "POST"
	if r.class == "tariff-lookup" {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s /%s/%016x HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Tenant: %s\r\nRequest-Timeout-Ms: %d\r\n",
		method, r.class, r.number, r.id, r.class, r.tenant, r.timeout.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.key)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// answer is a client's answer.
type answer struct {
	status int // 0: none came
	body   string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v) after %.3f s", a.err, a.took.Seconds())
	}
	return "answer " + strconv.Itoa(a.status) + fmt.Sprintf(" after %.3f s", a.took.Seconds())
}

// isRefusal reports whether the answer says that trying again is harmless.
func (a answer) isRefusal() bool { return a.status == 429 || a.status == 503 }

// ask sends a request on a new connection and waits for the answer until the request's time is up,
// and half a second more.
func (p *proxy) ask(r *request) answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(r.timeout + 500*time.Millisecond))
	if _, err := c.Write(r.encode()); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	status, body, err := readAnswer(bufio.NewReader(c))
	return answer{status: status, body: body, err: err, took: time.Since(began)}
}

// readAnswer reads a whole answer.
func readAnswer(r *bufio.Reader) (int, string, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, string(body), nil
}
