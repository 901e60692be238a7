package worker

import (
	"bufio"
	"context"
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
)

const (
	// clientLeeway is the time for which a client waits beyond its deadline, so that it can
	// distinguish a late response from a missing one.
	clientLeeway = 500 * time.Millisecond
	// loadStream is the stream of the load's random generator, which is seeded with the process's
	// seed. The streams after it are those of the health checks.
	loadStream = 7

	maxInFlight    = 2000        // concurrent requests of a client process
	healthTimeout  = time.Second // timeout of connecting and timeout of the exchange in a health check
	readyIntervals = 5           // number of health intervals between two checks of a ready sidecar
	subjectCount   = 1_000_000   // number of different subjects of requests
)

// clientGroup is the clients of one process. The clients send requests to sidecars that are ready.
type clientGroup struct {
	spec     Spec
	recorder recorder
	running  sync.WaitGroup
	stopLoad context.CancelFunc // nil while there is no load; accessed by execute only

	mu    sync.Mutex               // guards the fields below
	ready map[string]bool          // readiness of the sidecars, by name
	idle  map[string][]*clientConn // idle connections by sidecar name, most recently used last
}

// newClientGroup starts the health checks. A command starts the load.
func newClientGroup(ctx context.Context, spec Spec, r recorder) *clientGroup {
	g := &clientGroup{spec: spec, recorder: r, ready: map[string]bool{}, idle: map[string][]*clientConn{}}
	for i, name := range slices.Sorted(maps.Keys(spec.Sidecars)) {
		rnd := rand.New(rand.NewPCG(spec.Seed, uint64(i)+loadStream+1))
		g.running.Go(func() { g.pollHealth(ctx, name, rnd) })
	}
	return g
}

// close implements runner.
func (g *clientGroup) close() {
	g.running.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conns := range g.idle {
		for _, conn := range conns {
			conn.discard()
		}
	}
}

// execute implements runner.
func (g *clientGroup) execute(ctx context.Context, command Command) error {
	if command.Do != DoLoad {
		return errUnknownCommand
	}
	if g.stopLoad != nil {
		g.stopLoad()
		g.stopLoad = nil
	}
	if !command.On {
		return nil
	}
	loadCtx, stop := context.WithCancel(ctx)
	g.stopLoad = stop
	g.running.Go(func() {
		g.generateLoad(loadCtx)
		g.recorder.record(history.Event{Kind: history.LoadEnded, Who: g.spec.Name})
	})
	return nil
}

// pollHealth checks the health of a sidecar until ctx is done: every HealthInterval until the
// sidecar is ready, and every readyIntervals times as long after that. This models a load balancer
// in front of the sidecars, which detects a dead or restarted sidecar only after some time.
func (g *clientGroup) pollHealth(ctx context.Context, name string, rnd *rand.Rand) {
	timer := time.NewTimer(time.Duration(rnd.Int64N(int64(g.spec.HealthInterval) + 1)))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		isHealthy := g.checkHealth(name)
		g.mu.Lock()
		wasReady := g.ready[name]
		g.ready[name] = isHealthy
		g.mu.Unlock()
		if isHealthy && !wasReady && g.isLocal(name) { // each sidecar is local to one client process
			g.recorder.record(history.Event{Kind: history.Ready, Who: g.spec.Name, To: name})
		}
		interval := g.spec.HealthInterval
		if isHealthy {
			interval *= readyIntervals
		}
		timer.Reset(interval)
	}
}

// isLocal reports whether a sidecar is in the site of the clients.
func (g *clientGroup) isLocal(name string) bool {
	return len(g.spec.LocalSidecars) == 0 || slices.Contains(g.spec.LocalSidecars, name)
}

// checkHealth reports whether a sidecar responds to a health check with status 200.
func (g *clientGroup) checkHealth(name string) bool {
	conn, err := net.DialTimeout("tcp4", g.spec.Sidecars[name], healthTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // an error does not matter once the response has been read
	_ = conn.SetDeadline(time.Now().Add(healthTimeout))
	if _, err := io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode == http.StatusOK
}

// generateLoad sends requests at random times until ctx is done, and waits for their responses.
func (g *clientGroup) generateLoad(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(g.spec.Seed, loadStream))
	slots := make(chan struct{}, maxInFlight)
	local, remote := g.sidecarsByLocality()
	var requests sync.WaitGroup
	defer requests.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / g.spec.RequestRate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			return
		}
		class := pickClass(rnd)
		first := rnd.IntN(len(g.spec.Sidecars))
		subject := rnd.IntN(subjectCount)
		name := g.pickReady(local, first)
		if name == "" {
			name = g.pickReady(remote, first)
		}
		if name == "" {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			continue // the client process has reached maxInFlight
		}
		id := fmt.Sprintf("%s-%d", g.spec.Name, n)
		requests.Go(func() {
			defer func() { <-slots }()
			g.sendRequest(name, class, id, subject)
		})
	}
}

// sleepUntil waits until the time at. It reports false if ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sidecarsByLocality returns the sorted names of the sidecars in the site of the clients and of the
// sidecars in other sites.
func (g *clientGroup) sidecarsByLocality() (local, remote []string) {
	for _, name := range slices.Sorted(maps.Keys(g.spec.Sidecars)) {
		if g.isLocal(name) {
			local = append(local, name)
		} else {
			remote = append(remote, name)
		}
	}
	return local, remote
}

// pickClass draws the class of a request.
func pickClass(rnd *rand.Rand) Class {
	x := rnd.Float64()
	for _, class := range classes {
		x -= class.Share
		if x < 0 {
			return class
		}
	}
	return classes[len(classes)-1]
}

// pickReady returns the first ready sidecar in names, starting at index n and wrapping around. It
// returns "" if no sidecar is ready.
func (g *clientGroup) pickReady(names []string, n int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range names {
		if name := names[(n+i)%len(names)]; g.ready[name] {
			return name
		}
	}
	return ""
}

// markUnready marks a sidecar as not ready. It gets no further requests until it passes a health
// check.
func (g *clientGroup) markUnready(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready[name] = false
}

// sendRequest sends one request and records its outcome.
func (g *clientGroup) sendRequest(name string, class Class, id string, subject int) {
	req := newClientRequest(class, id, subject)
	e := history.Event{
		Kind: history.Requested, Who: g.spec.Name, To: name, ID: id, Class: class.Name, At: g.recorder.clock.Now(),
	}
	e.Until = e.At + class.Deadline.Microseconds()
	start := time.Now()
	e.Status, e.Reason = g.roundTrip(name, req, start.Add(class.Deadline+clientLeeway))
	e.Took = time.Since(start).Microseconds()
	g.recorder.record(e)
}

// clientRequest is one request of a client.
type clientRequest struct {
	class    Class
	text     string // request in wire format
	expected string // body of the correct response
}

// newClientRequest returns a request for a subject.
func newClientRequest(class Class, id string, subject int) clientRequest {
	target := fmt.Sprintf("%s/%d/%s", class.Path, subject, id)
	body := ""
	if class.Method == "POST" {
		body = `{"minutes":3}`
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nTenant: %s\r\nRequest-Timeout-Ms: %d\r\n",
		class.Method, target, id, Tenant, class.Deadline.Milliseconds())
	if class.Idempotency == "keyed" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", id)
	}
	if body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	return clientRequest{class: class, text: text.String(), expected: class.Method + " " + target + "\n" + body}
}
