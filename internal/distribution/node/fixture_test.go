package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/distribution/statedir"
)

// testTimeout is the longest time that a test waits for a condition.
const testTimeout = 20 * time.Second

// testNode is a source or relay on a loopback socket.
type testNode struct {
	*Node
	address string
	server  *http.Server
	cancel  context.CancelFunc
	running sync.WaitGroup
	state   *statedir.Dir // nil for a relay
	dialer  *testDialer   // nil for a source
}

// testDialer opens the connections of a relay to its upstream. After crash nothing is sent on them.
type testDialer struct {
	mu      sync.Mutex
	crashed bool
	conns   []net.Conn
}

// dial opens a connection.
func (d *testDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	d.conns = append(d.conns, conn)
	return conn, nil
}

// crash closes all connections and prevents further ones.
func (d *testDialer) crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = true
	for _, conn := range d.conns {
		_ = conn.Close()
	}
}

// testService is a Node or Relay.
type testService interface {
	httpapi.Service
	Run(ctx context.Context)
}

// serve serves a node at an address until the test ends. An empty address means any free port.
func serve(t *testing.T, service testService, n *Node, address string) *testNode {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &testNode{Node: n, address: l.Addr().String(), server: httpapi.NewServer(service), cancel: cancel}
	s.running.Go(func() { service.Run(ctx) })
	s.running.Go(func() { _ = s.server.Serve(httpapi.Listener(l, 10_000, n.traffic)) })
	t.Cleanup(s.kill)
	return s
}

// kill ends a node in the way of a crash: its connections are closed.
func (s *testNode) kill() {
	if s.dialer != nil {
		s.dialer.crash()
	}
	s.cancel()
	_ = s.server.Close()
	s.Close()
	s.running.Wait()
	if s.state != nil {
		_ = s.state.Close()
	}
}

// startSource starts a source that persists its state in dir.
func startSource(t *testing.T, dir, address string) *testNode {
	t.Helper()
	d, err := statedir.Open(dir, testClock)
	if err != nil {
		t.Fatal(err)
	}
	n := New(Config{Name: "source", Persist: d.Save, Epoch: d.Epoch()})
	if err := d.Load(n.Load); err != nil {
		t.Fatal(err)
	}
	s := serve(t, n, n, address)
	s.state = d
	return s
}

// startRelay starts a relay at an address. An empty address means any free port.
func startRelay(t *testing.T, name, address string, upstream ...string) *testNode {
	t.Helper()
	d := &testDialer{}
	r := NewRelay(Config{Name: name}, follow.Config{Relays: upstream, Hold: testHold, Dial: d.dial})
	s := serve(t, r, r.Node, address)
	s.dialer = d
	return s
}

// testClock is the time, in Unix seconds, at which sources begin their epochs. It makes the first
// epoch 1.
const testClock = 1

// testHold is the hold of the reads in tests.
const testHold = 500 * time.Millisecond

// eventually polls until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not reached in %v", what, testTimeout)
		}
		<-ticker.C
	}
}

// put writes changes to resource at a source and returns the new version.
func put(t *testing.T, address string, items ...distribution.Item) distribution.Version {
	t.Helper()
	c := httpapi.NewClient(nil)
	defer c.Close()
	v, err := c.Put(context.Background(), address, &distribution.PutRequest{Resource: resource, Items: items})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// item returns an item with a JSON string as its value.
func item(key, value string) distribution.Item {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: a string can be encoded
	}
	return distribution.Item{Key: key, Value: data}
}

// urgently returns a copy of an item that is marked as urgent.
func urgently(i distribution.Item) distribution.Item {
	i.Urgent = true
	return i
}

// statusOf returns the progress of a version of resource according to a node.
func statusOf(s *testNode, v distribution.Version) distribution.Progress {
	status := s.Status(resource)
	return status.Progress(v)
}

// resource is the name of the resource that most tests write.
const resource = "service-a"
