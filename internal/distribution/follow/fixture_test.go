package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// testTimeout is the longest time that a test waits for a request.
const testTimeout = 20 * time.Second

// call is one request of a Follower, to which the test responds.
type call struct {
	address string
	req     distribution.FollowRequest
	result  chan result
}

// result is the result of a call.
type result struct {
	response *distribution.FollowResponse
	err      error
}

// scriptedTransport is a Transport to whose calls the test responds.
type scriptedTransport struct {
	calls chan call
	ready func(address string) error // result of Ready; nil means that no relay is ready
}

// Follow implements Transport.
func (s *scriptedTransport) Follow(
	ctx context.Context, address string, req *distribution.FollowRequest,
) (*distribution.FollowResponse, error) {
	c := call{address: address, req: *req, result: make(chan result, 1)}
	select {
	case s.calls <- c:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case r := <-c.result:
		return r.response, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Ready implements Transport.
func (s *scriptedTransport) Ready(_ context.Context, address string) error {
	if s.ready == nil {
		return errors.New("not ready")
	}
	return s.ready(address)
}

// Close implements Transport.
func (s *scriptedTransport) Close() {}

// fixture is a Follower on a scripted Transport, and the subscriber of the Follower.
type fixture struct {
	t *testing.T
	*Follower
	transport   *scriptedTransport
	updates     chan distribution.Update
	reject      error                            // result of ApplyUpdate
	failed      chan bool                        // receives a value for each UpdateFailed
	sent        map[string]distribution.Position // last positions sent by reads and reports, by resource
	clockOffset atomic.Int64                     // offset of the Follower's clock in nanoseconds
	cancel      func()                           // ends Run
}

// start returns a running Follower that follows the resource "r".
func start(t *testing.T, has distribution.Version, relays ...string) *fixture {
	t.Helper()
	f := prepare(t, has, relays...)
	f.run()
	return f
}

// prepare returns a Follower that follows the resource "r" and does not run yet.
func prepare(t *testing.T, has distribution.Version, relays ...string) *fixture {
	t.Helper()
	f := &fixture{
		t:         t,
		transport: &scriptedTransport{calls: make(chan call)},
		updates:   make(chan distribution.Update, 10),
		failed:    make(chan bool, 100),
		sent:      make(map[string]distribution.Position),
	}
	cfg := Config{Name: "p", Kind: distribution.KindProxy, Relays: relays, Rand: testRand(), Hold: time.Minute}
	f.Follower = newFollower(cfg, f.transport, new(httpapi.Traffic))
	f.now = func() time.Time { return time.Now().Add(time.Duration(f.clockOffset.Load())) }
	f.Subscribe("r", has, f)
	return f
}

// run runs the Follower until the test ends.
func (f *fixture) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	f.cancel = cancel
	f.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// ApplyUpdate implements Subscriber.
func (f *fixture) ApplyUpdate(u distribution.Update) error {
	f.updates <- u
	return f.reject
}

// UpdateFailed implements Subscriber.
func (f *fixture) UpdateFailed() { f.failed <- true }

// nextCall returns the next call, and records the positions that it sends.
func (f *fixture) nextCall() call {
	f.t.Helper()
	select {
	case c := <-f.transport.calls:
		for _, p := range c.req.Positions {
			f.sent[p.Resource] = p
		}
		return c
	case <-time.After(testTimeout):
		f.t.Fatalf("no call in %v", testTimeout)
		return call{}
	}
}

// nextRead returns the next call that waits for an update. It answers the reports before that call.
func (f *fixture) nextRead() call {
	f.t.Helper()
	for {
		c := f.nextCall()
		if c.req.HoldMs > 0 {
			return c
		}
		c.ok()
	}
}

// ok answers a call with updates.
func (c call) ok(updates ...distribution.Update) {
	c.result <- result{response: &distribution.FollowResponse{Session: "s", Updates: updates}}
}

// fail answers a call with an error.
func (c call) fail(err error) { c.result <- result{err: err} }

// version returns a version of the first epoch.
func version(revision uint64) distribution.Version {
	return distribution.Version{Epoch: 1, Revision: revision}
}
