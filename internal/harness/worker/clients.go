package worker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/socket"
)

// Class is a class of requests that the rig's clients send, and its sidecars are configured for.
type Class struct {
	Name           string
	Idempotency    string
	Method         string
	Path           string
	Share          float64
	Objective      time.Duration
	Deadline       time.Duration
	PriorityWeight float64
}

// classes are those of every run.
var classes = []Class{
	{"tariff-lookup", "safe", "GET", "/tariffs", 0.6, 300 * time.Millisecond, time.Second, 1},
	{"usage-rate", "keyed", "POST", "/usage", 0.25, 500 * time.Millisecond, 2 * time.Second, 3},
	{"charge-post", "unsafe", "POST", "/charges", 0.15, 700 * time.Millisecond, 2 * time.Second, 10},
}

// Classes are the classes of every run.
func Classes() []Class { return slices.Clone(classes) }

// Tenant is the one tenant of all requests.
const Tenant = "roaming"

// DedupWindow is how long a pod of backends drops a key's repeats.
const DedupWindow = 7500 * time.Millisecond

const (
	clientLeeway     = 500 * time.Millisecond // that a client waits on to see a late answer for what it is
	maxInFlight      = 2000                   // requests under way at a client process
	loadStream       = 7
	healthTimeout    = time.Second
	idleTimeout      = 5 * time.Second // less than a sidecar keeps an idle one (10 s), lest its close cross a request
	readyIntervals   = 5               // times as long between two looks at one that is ready
	subjectCount     = 1_000_000
	maxResponseBytes = 1 << 20 // bytes of an answer's body that are read
)

// clientGroup send requests to sidecars that are ready.
type clientGroup struct {
	spec     Spec
	recorder recorder
	running  sync.WaitGroup
	stop     context.CancelFunc
	ctx      context.Context

	mu       sync.Mutex
	ready    map[string]bool
	idle     map[string][]*clientConn
	stopLoad context.CancelFunc
}

// clientConn is a client's connection to a sidecar.
type clientConn struct {
	net.Conn
	reader    *bufio.Reader
	reused    bool
	idleSince time.Time // when it was kept
}

func newClients(s Spec, t recorder) (runner, Hello, error) {
	c := &clientGroup{spec: s, recorder: t, ready: map[string]bool{}, idle: map[string][]*clientConn{}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	for i, name := range slices.Sorted(maps.Keys(s.Sidecars)) {
		c.running.Go(func() { c.pollHealth(name, rand.New(rand.NewPCG(s.Seed, uint64(i)+loadStream+1))) })
	}
	return c, Hello{}, nil
}

func (c *clientGroup) close() {
	c.stop()
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, all := range c.idle {
		for _, l := range all {
			l.Close()
		}
	}
}

func (c *clientGroup) execute(cmd Command) error {
	if cmd.Do != DoLoad {
		return errors.New("unknown command")
	}
	if c.stopLoad != nil {
		c.stopLoad()
		c.stopLoad = nil
	}
	if cmd.On {
		ctx, stop := context.WithCancel(c.ctx)
		c.stopLoad = stop
		c.running.Go(func() {
			c.generateLoad(ctx)
			c.recorder.record(history.Event{Kind: history.LoadEnded, Who: c.spec.Name})
		})
	}
	return nil
}

// pollHealth looks whether a sidecar is ready, again and again until it is, and now and then after that: as a front that deals out
// clients does, which notices only after a while that one has died or started anew.
func (c *clientGroup) pollHealth(name string, rnd *rand.Rand) {
	tick := time.NewTimer(time.Duration(rnd.Int64N(int64(c.spec.HealthInterval) + 1)))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-c.ctx.Done():
			return
		}
		healthy := c.checkHealth(name)
		c.mu.Lock()
		before := c.ready[name]
		c.ready[name] = healthy
		c.mu.Unlock()
		if healthy && !before && c.isLocal(name) { // one client process for each tells of it
			c.recorder.record(history.Event{Kind: history.Ready, Who: c.spec.Name, To: name})
		}
		if healthy {
			tick.Reset(readyIntervals * c.spec.HealthInterval)
		} else {
			tick.Reset(c.spec.HealthInterval)
		}
	}
}

func (c *clientGroup) isLocal(name string) bool {
	return len(c.spec.LocalSidecars) == 0 || slices.Contains(c.spec.LocalSidecars, name)
}

func (c *clientGroup) checkHealth(name string) bool {
	conn, err := net.DialTimeout("tcp4", c.spec.Sidecars[name], healthTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(healthTimeout))
	if _, err := io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// generateLoad sends requests at random times until the context ends.
func (c *clientGroup) generateLoad(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(c.spec.Seed, loadStream))
	held := make(chan struct{}, maxInFlight)
	var own, others []string
	for _, n := range slices.Sorted(maps.Keys(c.spec.Sidecars)) {
		if c.isLocal(n) {
			own = append(own, n)
		} else {
			others = append(others, n)
		}
	}
	var all sync.WaitGroup
	defer all.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / c.spec.RequestRate * float64(time.Second)))
		wait := time.NewTimer(time.Until(next))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		class, first, subject := pickClass(rnd), rnd.IntN(len(c.spec.Sidecars)), rnd.IntN(subjectCount)
		name := c.pickReady(own, first)
		if name == "" {
			if name = c.pickReady(others, first); name == "" {
				continue
			}
		}
		select {
		case held <- struct{}{}:
		default:
			continue // the client itself is at its bound
		}
		id := fmt.Sprintf("%s-%d", c.spec.Name, n)
		all.Go(func() {
			defer func() { <-held }()
			c.sendRequest(name, classes[class], id, subject)
		})
	}
}

func pickClass(rnd *rand.Rand) int {
	x := rnd.Float64()
	for i, c := range classes {
		if x -= c.Share; x < 0 {
			return i
		}
	}
	return len(classes) - 1
}

// pickReady is a ready sidecar, from the nth on.
func (c *clientGroup) pickReady(names []string, n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range names {
		if name := names[(n+i)%len(names)]; c.ready[name] {
			return name
		}
	}
	return ""
}

// sendRequest sends one request and tells what came of it.
func (c *clientGroup) sendRequest(name string, k Class, id string, subject int) {
	target := fmt.Sprintf("%s/%d/%s", k.Path, subject, id)
	body := ""
	if k.Method == "POST" {
		body = `{"minutes":3}`
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nTenant: %s\r\nRequest-Timeout-Ms: %d\r\n", k.Method, target, id, Tenant, k.Deadline.Milliseconds())
	if k.Idempotency == "keyed" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", id)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	e := history.Event{Kind: history.Requested, Who: c.spec.Name, To: name, ID: id, Class: k.Name, At: c.recorder.clock.Now()}
	e.Until = e.At + k.Deadline.Microseconds()
	began := time.Now()
	status, why := c.roundTrip(name, b.String(), k, began.Add(k.Deadline+clientLeeway), k.Method+" "+target+"\n"+body)
	e.Took, e.Status, e.Why = time.Since(began).Microseconds(), status, why
	c.recorder.record(e)
}

// Why a request has no answer. The checkers know these words.
const (
	NoConnection  = "no connection"
	ClosedEarly   = "closed with no answer"
	TimedOut      = "no answer in time"
	Truncated     = "an answer that is not whole"
	WrongResponse = "another request's answer"
	TrailingBytes = "bytes after the answer"
)

// roundTrip sends a request, and says what came of it. Where a kept connection breaks with no answer and the request is safe,
// it is sent once more.
func (c *clientGroup) roundTrip(name, text string, k Class, until time.Time, expect string) (status int, why string) {
	for first := true; ; first = false {
		l := c.takeIdle(name)
		if l == nil {
			if l = c.dial(name, until); l == nil {
				return 0, NoConnection
			}
		}
		_ = l.SetDeadline(until)
		resp, err := l.exchange(text, k.Method)
		if err == nil {
			return c.readResponse(name, l, resp, expect)
		}
		l.Close()
		if why = failure(err); why != ClosedEarly {
			if why == TimedOut {
				c.markUnready(name) // ask for its health before the next
			}
			return 0, why
		}
		if !(l.reused && first && k.Idempotency == "safe") { // otherwise it was closed between two requests
			c.markUnready(name)
			return 0, why
		}
	}
}

// dial connects to a sidecar; nil where that fails.
func (c *clientGroup) dial(name string, until time.Time) *clientConn {
	conn, err := net.DialTimeout("tcp4", c.spec.Sidecars[name], time.Until(until))
	if err != nil {
		c.markUnready(name)
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// exchange writes a request and reads the head of its answer.
func (l *clientConn) exchange(text, method string) (*http.Response, error) {
	if _, err := io.WriteString(l, text); err != nil {
		return nil, err
	}
	if _, err := l.reader.Peek(1); err != nil {
		return nil, err
	}
	return http.ReadResponse(l.reader, &http.Request{Method: method})
}

// failure says why there is no head of an answer.
func failure(err error) string {
	var network net.Error
	switch {
	case errors.As(err, &network) && network.Timeout():
		return TimedOut
	case errors.Is(err, io.ErrUnexpectedEOF):
		return Truncated
	}
	return ClosedEarly
}

// readResponse reads the rest of an answer and compares it with what is expected; a connection that can serve again is kept.
func (c *clientGroup) readResponse(name string, l *clientConn, resp *http.Response, expect string) (status int, why string) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	resp.Body.Close()
	switch {
	case err != nil:
		l.Close()
		return 0, Truncated
	case resp.StatusCode == http.StatusOK && string(data) != expect:
		l.Close()
		return resp.StatusCode, WrongResponse
	case l.reader.Buffered() > 0:
		l.Close()
		return resp.StatusCode, TrailingBytes
	}
	if l.reused = true; resp.Close {
		l.Close()
	} else {
		c.putIdle(name, l)
	}
	return resp.StatusCode, ""
}

// takeIdle takes a kept connection that its other end has left open and quiet.
func (c *clientGroup) takeIdle(name string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for all := c.idle[name]; len(all) > 0; all = c.idle[name] {
		l := all[len(all)-1]
		c.idle[name] = all[:len(all)-1]
		if time.Since(l.idleSince) < idleTimeout && socket.IsIdle(l.Conn) {
			return l
		}
		l.Close()
	}
	return nil
}

func (c *clientGroup) putIdle(name string, l *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.idleSince = time.Now()
	c.idle[name] = append(c.idle[name], l)
}

// markUnready has a sidecar asked for its health before it gets further requests.
func (c *clientGroup) markUnready(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready[name] = false
}
