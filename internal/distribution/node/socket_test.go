package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// within is after what a test that waits for an event gives up.
const within = 20 * time.Second

// served is a source or relay on a real socket.
type served struct {
	*Node
	address string
	server  *http.Server
	cancel  context.CancelFunc
	parts   sync.WaitGroup
	state   *statedir.Dir // of a source
	dialer  *dialer       // of a relay
}

// dialer opens a relay's connections to its upstream until it is cut, as a crash does: nothing more is said on any.
type dialer struct {
	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut {
		conn.Close()
		return nil, net.ErrClosed
	}
	d.conns = append(d.conns, conn)
	return conn, nil
}

func (d *dialer) crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = true
	for _, conn := range d.conns {
		conn.Close()
	}
}

type runner interface {
	httpapi.Service
	Run(ctx context.Context)
}

// serve starts a node; address empty: any.
func serve(t *testing.T, service runner, n *Node, address string) *served {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &served{Node: n, address: l.Addr().String(), server: httpapi.NewServer(service), cancel: cancel}
	s.parts.Go(func() { service.Run(ctx) })
	s.parts.Go(func() { _ = s.server.Serve(httpapi.Listener(l, 10_000, n.traffic)) })
	t.Cleanup(s.kill)
	return s
}

// kill ends a node as a crash would: its connections break.
func (s *served) kill() {
	if s.dialer != nil {
		s.dialer.crash()
	}
	s.cancel()
	_ = s.server.Close()
	s.Node.Close()
	s.parts.Wait()
	if s.state != nil {
		_ = s.state.Close()
	}
}

func startSource(t *testing.T, dir, address string, clock int64) *served {
	t.Helper()
	d, err := statedir.Open(dir, clock)
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

func startRelay(t *testing.T, name, address string, upstream ...string) *served {
	t.Helper()
	d := &dialer{}
	r := NewRelay(Config{Name: name}, follow.Config{Relays: upstream, Hold: testHold, Dial: d.dial})
	s := serve(t, r, r.Node, address)
	s.dialer = d
	return s
}

// testHold is of the tests' reads.
const testHold = 500 * time.Millisecond

// proxy is a subscriber that keeps what it gets.
type proxy struct {
	t *testing.T
	*follow.Follower
	end func() // ends it

	mu     sync.Mutex
	change chan struct{} // closed when anything changes, and made anew
	items  map[string]string
	at     distribution.Version
	whole  int
	deltas int
	missed int
	refuse string // the key that is refused
}

func startProxy(t *testing.T, name string, resource string, relays ...string) *proxy {
	t.Helper()
	p := &proxy{t: t, change: make(chan struct{}), items: make(map[string]string)}
	p.Follower = follow.New(follow.Config{Name: name, Kind: distribution.KindProxy, Relays: relays, Hold: testHold})
	p.Subscribe(resource, distribution.Version{}, p)
	p.end = run(t, p.Follower)
	return p
}

// run runs a follower until the test ends, or until end is called.
func run(t *testing.T, f *follow.Follower) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	end = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(end)
	return end
}

func (p *proxy) ApplyUpdate(u distribution.Update) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.changed()
	if !u.Version.After(p.at) {
		p.t.Errorf("went back from %v to %v", p.at, u.Version)
	}
	for _, item := range u.Items {
		if p.refuse != "" && item.Key == p.refuse {
			return fmt.Errorf("key %s makes no sense", item.Key)
		}
	}
	if u.Full() {
		p.whole++
		clear(p.items)
	} else {
		p.deltas++
	}
	for _, item := range u.Items {
		if item.Deleted {
			delete(p.items, item.Key)
		} else {
			p.items[item.Key] = string(item.Value)
		}
	}
	p.at = u.Version
	return nil
}

func (p *proxy) UpdateFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missed++
	p.changed()
}

func (p *proxy) changed() {
	close(p.change)
	p.change = make(chan struct{})
}

// await waits until something holds of the proxy.
func (p *proxy) await(what string, holds func() bool) {
	p.t.Helper()
	timeout := time.After(within)
	for {
		p.mu.Lock()
		done, change := holds(), p.change
		p.mu.Unlock()
		if done {
			return
		}
		select {
		case <-change:
		case <-timeout:
			p.mu.Lock()
			defer p.mu.Unlock()
			p.t.Fatalf("%s: not seen; version %v, items %v, health %+v", what, p.at, p.items, p.Health())
		}
	}
}

func (p *proxy) awaitVersion(v distribution.Version) {
	p.t.Helper()
	p.await("version "+v.String(), func() bool { return !v.After(p.at) })
}

// eventually asks again until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not seen", what)
		}
		<-ticker.C
	}
}

func put(t *testing.T, address, resource string, items ...distribution.Item) distribution.Version {
	t.Helper()
	c := httpapi.NewClient(nil)
	defer c.Close()
	v, err := c.Put(context.Background(), address, &distribution.PutRequest{Resource: resource, Items: items})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func item(key, value string) distribution.Item {
	data, _ := json.Marshal(value)
	return distribution.Item{Key: key, Value: data}
}

func urgently(i distribution.Item) distribution.Item {
	i.Urgent = true
	return i
}

// A write comes to a proxy through two levels of relays, as a change where it knows the version before, and the source
// says that it is in force.
func TestThroughRelays(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	region := startRelay(t, "region", "", source.address)
	zone := startRelay(t, "zone", "", region.address)
	p := startProxy(t, "p1", "service-a", zone.address)

	first := put(t, source.address, "service-a", item("b1", "up"), item("b2", "up"))
	p.awaitVersion(first)
	second := put(t, source.address, "service-a", urgently(item("b1", "draining")))
	p.awaitVersion(second)
	p.mu.Lock()
	if p.whole != 1 || p.deltas != 1 || p.items["b1"] != `"draining"` || p.items["b2"] != `"up"` {
		t.Errorf("%d whole updates, %d changes, items %v", p.whole, p.deltas, p.items)
	}
	p.mu.Unlock()
	eventually(t, "in force at the source", func() bool {
		progress := statusOf(source, "service-a", second)
		return progress.Proxies == 1 && progress.Done()
	})
}

// A proxy that ends tells its relay, and does not count any more from then on, as one does that has died.
func TestAProxyThatEndsIsNotCounted(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	zone := startRelay(t, "zone", "", source.address)
	stays := startProxy(t, "stays", "service-a", zone.address)
	ends := startProxy(t, "ends", "service-a", zone.address)
	version := put(t, source.address, "service-a", item("b1", "up"))
	stays.awaitVersion(version)
	ends.awaitVersion(version)
	eventually(t, "both in force", func() bool { return statusOf(zone, "service-a", version).Proxies == 2 })
	ends.end()
	if progress := statusOf(zone, "service-a", version); progress.Proxies != 1 {
		t.Errorf("%d proxies are counted at the relay", progress.Proxies)
	}
	eventually(t, "one at the source", func() bool { return statusOf(source, "service-a", version).Proxies == 1 })
}

// A report that the network has delayed until after its follower's goodbye does not have it counted again.
func TestAReportAfterTheGoodbye(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	version := put(t, source.address, "service-a", item("b1", "up"))
	c := httpapi.NewClient(nil)
	defer c.Close()
	ctx := context.Background()
	has := []distribution.Position{{Resource: "service-a", InForce: version}}
	opened, err := c.Follow(ctx, source.address, &distribution.FollowRequest{Follower: "ends", Kind: distribution.KindProxy, Positions: has})
	if err != nil {
		t.Fatal(err)
	}
	said := distribution.FollowRequest{Follower: "ends", Kind: distribution.KindProxy, Session: opened.Session}
	goodbye, late := said, said
	goodbye.Leave, late.Positions = true, has
	if _, err := c.Follow(ctx, source.address, &goodbye); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Follow(ctx, source.address, &late); !errors.Is(err, distribution.ErrUnknownSession) {
		t.Errorf("the late report: %v", err)
	}
	if progress := statusOf(source, "service-a", version); progress.Proxies != 0 {
		t.Errorf("%d proxies are counted", progress.Proxies)
	}
}

// A read that waits when its session is left is answered at once.
func TestGoodbyeEndsTheRead(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	c := httpapi.NewClient(nil)
	defer c.Close()
	ctx := context.Background()
	follower := distribution.FollowRequest{Follower: "ends", Kind: distribution.KindProxy}
	opened, err := c.Follow(ctx, source.address, &follower)
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	follower.Session = opened.Session
	waits := follower
	waits.HoldMs = distribution.MaxHoldMs
	go func() {
		_, err := c.Follow(ctx, source.address, &waits)
		read <- err
	}()
	eventually(t, "a read waits", func() bool { return source.Stats().WaitingReads == 1 })
	follower.Leave = true
	if _, err := c.Follow(ctx, source.address, &follower); err != nil {
		t.Fatal(err)
	}
	if err := <-read; !errors.Is(err, distribution.ErrUnknownSession) {
		t.Errorf("%v", err)
	}
}

func statusOf(s *served, resource string, v distribution.Version) distribution.Progress {
	status := s.Status(resource)
	return status.Progress(v)
}
