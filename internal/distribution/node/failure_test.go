package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/distribution/statedir"
)

const resource = "service-a"

// A relay dies: its proxy goes on at the other from the version that it has, by changes alone, and comes back once the
// relay is there again.
func TestResumeAfterARelaysDeath(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	relays := map[string]*served{}
	var addresses []string
	for _, name := range []string{"relay-1", "relay-2"} {
		r := startRelay(t, name, "", source.address)
		relays[r.address] = r
		addresses = append(addresses, r.address)
	}
	p := startProxy(t, "p1", resource, addresses...)
	p.awaitVersion(put(t, source.address, resource, item("b1", "1"), item("b2", "1")))
	// The other relay has the resource too, by another proxy.
	for _, address := range addresses {
		startProxy(t, "beside "+address, resource, address).awaitVersion(source.store.Version(resource))
	}
	first := p.Health().Relay
	relays[first].kill()
	p.awaitVersion(put(t, source.address, resource, urgently(item("b1", "2"))))
	p.mu.Lock()
	if p.whole != 1 || p.deltas != 1 {
		t.Errorf("%d whole readings and %d changes, 1 and 1 expected", p.whole, p.deltas)
	}
	p.mu.Unlock()
	if second := p.Health().Relay; second == first || p.Stats().Switches != 1 {
		t.Errorf("reads from %s, the dead one is %s; %d switches", second, first, p.Stats().Switches)
	}

	startRelay(t, "relay again", first, source.address)
	eventually(t, "the return to the first choice", func() bool { return p.Health().Relay == first })
	p.awaitVersion(put(t, source.address, resource, item("b2", "3")))
	eventually(t, "one proxy is counted once", func() bool {
		progress := statusOf(source, resource, source.store.Version(resource))
		return progress.Proxies == 3 && progress.Done() // with the two beside, of which one has lost its relay for now
	})
}

// A relay that restarts knows no session: its proxies begin anew with all positions and get nothing whole, and nothing older.
func TestUnknownSession(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	relay := startRelay(t, "relay", "", source.address)
	p := startProxy(t, "p1", resource, relay.address)
	p.awaitVersion(put(t, source.address, resource, item("b1", "1")))

	c := httpapi.NewClient(nil)
	defer c.Close()
	_, err := c.Follow(context.Background(), relay.address, &distribution.FollowRequest{Follower: "p1", Kind: distribution.KindProxy, Session: "none", HoldMs: 100})
	if !errors.Is(err, distribution.ErrUnknownSession) {
		t.Errorf("%v", err)
	}
	relay.kill()
	relay = startRelay(t, "relay", relay.address, source.address)
	eventually(t, "a new session", func() bool { return p.Stats().Sessions >= 2 })
	eventually(t, "the relay has the resource", func() bool { return relay.Stats().Resources == 1 })
	p.awaitVersion(put(t, source.address, resource, item("b1", "2")))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.whole != 1 || p.deltas != 1 {
		t.Errorf("%d whole readings and %d changes, 1 and 1 expected", p.whole, p.deltas)
	}
}

// A proxy that takes long over an update gets the newest state after it, not what came in between, and the relay keeps
// nothing for it.
func TestSlowReader(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	relay := startRelay(t, "relay", "", source.address)
	slow := &slowProxy{begun: make(chan struct{}), release: make(chan struct{}), newest: make(chan distribution.Version, 100)}
	f := follow.New(follow.Config{Name: "slow", Kind: distribution.KindProxy, Relays: []string{relay.address}, Hold: testHold})
	f.Subscribe(resource, distribution.Version{}, slow)
	run(t, f)
	quick := startProxy(t, "quick", resource, relay.address)
	put(t, source.address, resource, item("b1", "first"))
	<-slow.begun

	const writes, size = 100, 64 << 10
	var last distribution.Version
	for i := range writes {
		last = put(t, source.address, resource, urgently(item("b1", strings.Repeat(fmt.Sprint(i%10), size))))
	}
	quick.awaitVersion(last)
	stats := relay.Stats()
	if stats.StoreBytes > 2*size || stats.CacheBytes > cacheBytes {
		t.Errorf("the relay keeps %d bytes, and %d encoded, of a resource of %d", stats.StoreBytes, stats.CacheBytes, size)
	}
	close(slow.release)
	updates := 0
	for v := range slow.newest {
		if updates++; v == last {
			break
		}
	}
	if updates != 2 { // the first, and all that came since
		t.Errorf("%d updates for %d writes, 2 expected", updates, writes+1)
	}
}

// slowProxy takes no end over its first update until it is released.
type slowProxy struct {
	once    sync.Once
	begun   chan struct{}
	release chan struct{}
	newest  chan distribution.Version
}

func (s *slowProxy) ApplyUpdate(u distribution.Update) error {
	s.once.Do(func() { close(s.begun) })
	<-s.release
	s.newest <- u.Version
	return nil
}

func (s *slowProxy) UpdateFailed() {}

// Changes of a burst go together; an urgent one goes at once, with what waits.
func TestUrgentAndCoalesced(t *testing.T) {
	limits := distribution.DefaultSessionLimits()
	limits.Coalesce = time.Hour // nothing but an urgent item ends the wait
	n := New(Config{Name: "source", Epoch: 1, Limits: limits, Persist: func(*distribution.Update) error { return nil }})
	source := serve(t, n, n, "")
	p := startProxy(t, "p1", resource, source.address)
	p.awaitVersion(put(t, source.address, resource, item("b1", "1"), item("b2", "1")))
	eventually(t, "a read waits", func() bool { return source.Stats().WaitingReads == 1 })
	put(t, source.address, resource, item("b1", "2"))
	put(t, source.address, resource, item("b1", "3"))
	p.awaitVersion(put(t, source.address, resource, urgently(item("b2", "2"))))
	p.mu.Lock()
	if p.deltas != 1 || p.items["b1"] != `"3"` {
		t.Errorf("%d changes, items %v; 1 expected", p.deltas, p.items)
	}
	p.mu.Unlock()
	if s := source.Stats(); s.CoalescedUpdates != 1 || s.UrgentHeldUs > within.Microseconds() {
		t.Errorf("%+v", s)
	}
}

// Without an urgent item a burst goes as one update, and it does go.
func TestBurstGoesTogether(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	p := startProxy(t, "p1", resource, source.address)
	p.awaitVersion(put(t, source.address, resource, item("b1", "0")))
	const writes = 20
	var last distribution.Version
	for i := range writes {
		last = put(t, source.address, resource, item("b1", fmt.Sprint(i+1)))
	}
	p.awaitVersion(last)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.deltas >= writes {
		t.Errorf("%d updates for %d writes", p.deltas, writes)
	}
}

// What a proxy refuses leaves what it had in force, is known at the source with the reason, and a better version mends it.
func TestRefusedUpdate(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	relay := startRelay(t, "relay", "", source.address)
	p := startProxy(t, "p1", resource, relay.address)
	p.mu.Lock()
	p.refuse = "bad"
	p.mu.Unlock()
	startProxy(t, "p2", resource, relay.address)
	good := put(t, source.address, resource, item("b1", "1"))
	p.awaitVersion(good)
	bad := put(t, source.address, resource, item("bad", "1"))
	eventually(t, "the refusal at the source", func() bool {
		progress := statusOf(source, resource, bad)
		return len(progress.Rejections) == 1 && progress.Rejections[0] == distribution.Rejection{Follower: "p1", Version: bad, Reason: "key bad makes no sense"} &&
			progress.InForce == 1 && progress.Proxies == 2
	})
	p.mu.Lock()
	if p.at != good {
		t.Errorf("version %v stands, %v expected", p.at, good)
	}
	p.mu.Unlock()
	better := put(t, source.address, resource, distribution.Item{Key: "bad", Deleted: true}, item("b1", "2"))
	p.mu.Lock()
	p.refuse = ""
	p.mu.Unlock()
	p.awaitVersion(better)
	eventually(t, "in force everywhere", func() bool {
		progress := statusOf(source, resource, better)
		return progress.Done() && progress.Proxies == 2
	})
}

// A source that restarts has what it had, under the same versions, and its further writes are of a later epoch.
func TestSourceRestarts(t *testing.T) {
	dir := t.TempDir()
	source := startSource(t, dir, "", 1)
	relay := startRelay(t, "relay", "", source.address)
	p := startProxy(t, "p1", resource, relay.address)
	before := put(t, source.address, resource, item("b1", "1"))
	p.awaitVersion(before)
	source.kill()
	p.awaitServing(relay)
	source = startSource(t, dir, source.address, 1)
	if v := source.store.Version(resource); v != before {
		t.Errorf("version %v after the restart, %v expected", v, before)
	}
	after := put(t, source.address, resource, item("b1", "2"))
	if after.Epoch <= before.Epoch || after.Revision <= before.Revision {
		t.Errorf("%v written after %v", after, before)
	}
	p.awaitVersion(after)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.whole != 1 || p.deltas != 1 {
		t.Errorf("%d whole readings and %d changes, 1 and 1 expected", p.whole, p.deltas)
	}
}

// awaitServing waits until a relay without its source answers all the same, and tells since when.
func (p *proxy) awaitServing(relay *served) {
	p.t.Helper()
	eventually(p.t, "an answer with the source's age", func() bool { return p.Health().SourceAge > testHold && relay.Stats().SourceAgeMs > 0 })
}

// A source that dies after it has kept a write and before it has answered: after the restart the write is there, whole,
// and a publisher that repeats it on the version it knew is told so.
func TestSourceDiesBetweenTwoWrites(t *testing.T) {
	dir := t.TempDir()
	d, err := statedir.Open(dir, 1)
	if err != nil {
		t.Fatal(err)
	}
	died := errors.New("died")
	n := New(Config{Name: "source", Epoch: d.Epoch(), Persist: func(u *distribution.Update) error {
		if err := d.Save(u); err != nil || u.Resource == resource {
			return err
		}
		return died
	}})
	source := serve(t, n, n, "")
	source.state = d
	p := startProxy(t, "p1", resource, source.address)
	put(t, source.address, resource, item("b1", "1"))
	c := httpapi.NewClient(nil)
	defer c.Close()
	second := &distribution.PutRequest{Resource: "service-b", Expected: &distribution.Version{}, Items: []distribution.Item{item("b1", "1")}}
	if _, err := c.Put(context.Background(), source.address, second); err == nil || !strings.Contains(err.Error(), "died") {
		t.Errorf("%v", err)
	}
	if source.store.Version("service-b") != (distribution.Version{}) {
		t.Error("a write that has failed is in force")
	}
	source.kill()
	source = startSource(t, dir, source.address, 1)
	c.Close() // its connection is to the process that died
	var conflict *distribution.ConflictError
	if _, err := c.Put(context.Background(), source.address, second); !errors.As(err, &conflict) || conflict.Found.IsZero() {
		t.Errorf("%v; the kept write expected", err)
	}
	p.awaitVersion(put(t, source.address, resource, item("b1", "2")))
}

// Of two writes on the same version one is taken; a relay takes none.
func TestConditionalPut(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	relay := startRelay(t, "relay", "", source.address)
	c := httpapi.NewClient(nil)
	defer c.Close()
	v := put(t, source.address, resource, item("b1", "1"))
	results := make(chan error)
	for i := range 2 {
		go func() {
			_, err := c.Put(context.Background(), source.address, &distribution.PutRequest{Resource: resource, Expected: &v, Items: []distribution.Item{item("b1", fmt.Sprint("by ", i))}})
			results <- err
		}()
	}
	first, second := <-results, <-results
	if first != nil {
		first, second = second, first
	}
	var conflict *distribution.ConflictError
	if first != nil || !errors.As(second, &conflict) || conflict.Expected != v || conflict.Found != source.store.Version(resource) {
		t.Errorf("%v, %v", first, second)
	}
	if _, err := c.Put(context.Background(), relay.address, &distribution.PutRequest{Resource: resource}); err == nil || !strings.Contains(err.Error(), "not the source") {
		t.Errorf("%v", err)
	}
}

// Over its bound of sessions a relay turns followers away, and says when to come back.
func TestTooManySessions(t *testing.T) {
	limits := distribution.DefaultSessionLimits()
	limits.Sessions = 1
	n := New(Config{Name: "source", Limits: limits, Persist: func(*distribution.Update) error { return nil }})
	source := serve(t, n, n, "")
	startProxy(t, "p1", resource, source.address).awaitHeard()
	c := httpapi.NewClient(nil)
	defer c.Close()
	_, err := c.Follow(context.Background(), source.address, &distribution.FollowRequest{Follower: "p2", Kind: distribution.KindProxy, HoldMs: 100})
	var busy *httpapi.OverloadedError
	if !errors.As(err, &busy) || busy.RetryAfter != sessionRetryAfter {
		t.Errorf("%v", err)
	}
	for range firstReads {
		n.firsts <- struct{}{}
	}
	_, err = c.Follow(context.Background(), source.address, &distribution.FollowRequest{Follower: "p1", Kind: distribution.KindProxy, HoldMs: 100})
	if !errors.As(err, &busy) || busy.RetryAfter != firstRetryAfter {
		t.Errorf("%v", err)
	}
}

func (p *proxy) awaitHeard() {
	p.t.Helper()
	eventually(p.t, "an answer", func() bool { return !p.Health().LastAnswer.IsZero() })
}

// A relay falls silent without its connections breaking: the read is given up and the other relay asked. With all silent
// the subscriber is told, and what stands goes on.
func TestSilentRelay(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	relay := startRelay(t, "relay", "", source.address)
	var links []*link
	var addresses []string
	for range 2 {
		l := startLink(t, relay.address)
		links = append(links, l)
		addresses = append(addresses, l.address)
	}
	p := startProxy(t, "p1", resource, addresses...)
	p.awaitVersion(put(t, source.address, resource, item("b1", "1")))
	used := 0
	if p.Health().Relay == addresses[1] {
		used = 1
	}
	links[used].silence()
	p.awaitVersion(put(t, source.address, resource, item("b1", "2")))
	links[1-used].silence()
	p.await("the news that no relay answers", func() bool { return p.missed > 0 })
	if p.Health().SilentSince.IsZero() {
		t.Error("no relay answers, and the health does not say so")
	}
}

// A relay that answers and hears from no upstream: its proxies go to one that does, and get the news there. Where there is
// none they stay and keep what they have.
func TestRelayCutOffFromTheSource(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	var links []*link
	var addresses []string
	for _, name := range []string{"relay-1", "relay-2"} {
		l := startLink(t, source.address)
		links = append(links, l)
		addresses = append(addresses, startRelay(t, name, "", l.address).address)
	}
	p := startProxy(t, "p1", resource, addresses...)
	first := put(t, source.address, resource, item("b1", "1"))
	p.awaitVersion(first)
	for _, address := range addresses { // so that each relay knows the version
		startProxy(t, "beside "+address, resource, address).awaitVersion(first)
	}
	used := 0
	if p.Health().Relay == addresses[1] {
		used = 1
	}
	links[used].silence()
	last := put(t, source.address, resource, urgently(item("b1", "2")))
	p.awaitVersion(last)
	if h := p.Health(); h.Relay != addresses[1-used] || p.Stats().Switches != 1 {
		t.Errorf("reads from %s, %s is cut off", h.Relay, addresses[used])
	}
	links[1-used].silence()
	eventually(t, "the news that all relays are cut off", func() bool { return p.Health().Disconnected })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at != last || p.whole != 1 {
		t.Errorf("version %v after %d whole readings, %v after 1 expected", p.at, p.whole, last)
	}
}

// A relay that has not heard from its upstream yet has nothing to tell, and says so.
func TestAFreshRelayIsCutOffUntilItsUpstreamAnswers(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	silent := startLink(t, source.address)
	silent.silence()
	c := httpapi.NewClient(nil)
	defer c.Close()
	var busy *httpapi.OverloadedError
	if err := c.Ready(context.Background(), startRelay(t, "cut-off", "", silent.address).address); !errors.As(err, &busy) {
		t.Errorf("cut off from the start: %v", err)
	}
	relay := startRelay(t, "relay", "", startLink(t, source.address).address)
	eventually(t, "the relay is ready", func() bool { return c.Ready(context.Background(), relay.address) == nil })
}

// link passes bytes on until it is silenced; then it takes them and goes no further.
type link struct {
	address string
	silent  chan struct{}
}

func startLink(t *testing.T, to string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{address: l.Addr().String(), silent: make(chan struct{})}
	var conns sync.Map
	var running sync.WaitGroup
	running.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			conns.Store(in, true)
			conns.Store(out, true)
			running.Go(func() { k.pass(in, out) })
			running.Go(func() { k.pass(out, in) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		conns.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true })
		running.Wait()
	})
	return k
}

func (k *link) silence() { close(k.silent) }

func (k *link) pass(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-k.silent:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// One encoding serves all followers that get the same.
func TestSharedEncoding(t *testing.T) {
	source := startSource(t, t.TempDir(), "", 1)
	const proxies = 20
	var all []*proxy
	for i := range proxies {
		all = append(all, startProxy(t, fmt.Sprint("p", i), resource, source.address))
	}
	for _, p := range all {
		p.awaitHeard()
	}
	first := put(t, source.address, resource, item("b1", "1"))
	for _, p := range all {
		p.awaitVersion(first)
	}
	second := put(t, source.address, resource, urgently(item("b1", "2")))
	for _, p := range all {
		p.awaitVersion(second)
	}
	if s := source.Stats(); s.Encodings != 2 || s.FullUpdates != proxies || s.DeltaUpdates != proxies {
		t.Errorf("%d encodings, %d whole updates, %d changes; 2, %d, %d expected", s.Encodings, s.FullUpdates, s.DeltaUpdates, proxies, proxies)
	}
}
