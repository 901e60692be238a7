package follow

import (
	"sync/atomic"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// testTimeout bounds what a test waits for.
const testTimeout = 20 * time.Second

// call is one request of a Follower, which the test answers.
type call struct {
	address string
	req     distribution.FollowRequest
	result  chan result
}

// result is what a call returns.
type result struct {
	response *distribution.FollowResponse
	err      error
}

// scriptedTransport is a Transport whose calls the test answers.
type scriptedTransport struct {
	calls chan call
	ready func(address string) error // nil: no relay is
}

// fixture is a running Follower on a scripted Transport.
type fixture struct {
	t *testing.T
	*Follower
	transport *scriptedTransport
	updates   chan distribution.Update
	reject    error                            // what ApplyUpdate returns
	failed    chan bool                        // has a value for each UpdateFailed
	sent      map[string]distribution.Position // by reads and reports
	skipped   atomic.Int64                     // nanoseconds that the clock is ahead
	cancel    func()                           // ends Run
}

// start returns a running Follower with a subscription of the resource "r".
func start(t *testing.T, has distribution.Version, relays ...string) *fixture {
	t.Helper()
	f := prepare(t, has, relays...)
	f.run()
	return f
}

// prepare returns a Follower with a subscription of the resource "r", which does not run yet.
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
	f.now = func() time.Time { return time.Now().Add(time.Duration(f.skipped.Load())) }
	f.Subscribe("r", has, f)
	return f
}

// version returns a version of the first epoch.
func version(revision uint64) distribution.Version {
	return distribution.Version{Epoch: 1, Revision: revision}
}
