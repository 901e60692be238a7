package node

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/httpapi"
)

// Sizes and times of the benchmarks.
const (
	benchSessions  = 2_000            // followers of a relay
	benchResources = 10               // resources that each follower follows
	benchRest      = 20 * time.Second // duration of BenchmarkRelayAtRest
)

// BenchmarkRelayAtRest measures a relay process whose followers have the latest version of all
// their resources. Run it with -benchtime 1x.
func BenchmarkRelayAtRest(b *testing.B) {
	_, relay, pid := startFleet(b)
	followAll(b, relay)
	client := httpapi.NewClient(nil)
	defer client.Close()
	for b.Loop() {
		before, cpu := benchStats(b, client, relay), cpuSeconds(b, pid)
		time.Sleep(benchRest) // the benchmark measures the idle time
		after, spent := benchStats(b, client, relay), cpuSeconds(b, pid)-cpu
		messages := float64(after.MessagesIn - before.MessagesIn)
		b.ReportMetric(100*spent/benchRest.Seconds(), "%core")
		b.ReportMetric(messages/benchRest.Seconds(), "reads/s")
		b.ReportMetric(1e6*spent/messages, "cpu-us/read")
		b.ReportMetric(float64(after.BytesIn-before.BytesIn)/messages, "B-in/read")
		b.ReportMetric(float64(after.BytesOut-before.BytesOut)/messages, "B-out/read")
		b.ReportMetric(float64(rssBytes(b, pid))/1e6, "MB-rss")
		b.ReportMetric(float64(rssBytes(b, pid))/benchSessions, "B-rss/session")
	}
}

// BenchmarkChange measures an urgent change that a relay process sends to all followers.
func BenchmarkChange(b *testing.B) {
	source, relay, pid := startFleet(b)
	received := followAll(b, relay)
	client := httpapi.NewClient(nil)
	defer client.Close()
	awaitWaiting(b, client, relay)
	before, cpu := benchStats(b, client, relay), cpuSeconds(b, pid)
	changes := 0
	for b.Loop() {
		received.Add(benchSessions)
		changes++
		benchPut(b, source, "service-0", urgently(item("backend-0", fmt.Sprint(changes))))
		received.Wait()
		b.StopTimer()
		awaitWaiting(b, client, relay)
		b.StartTimer()
	}
	after, spent := benchStats(b, client, relay), cpuSeconds(b, pid)-cpu
	sent := float64(changes * benchSessions)
	b.ReportMetric(1e6*spent/sent, "cpu-us/update")
	b.ReportMetric(float64(after.Encodings-before.Encodings)/float64(changes), "encodings/change")
	b.ReportMetric(float64(after.BytesOut-before.BytesOut)/sent, "B-out/update")
}

// BenchmarkFailover measures how the followers of a killed relay resume at two other relays that
// have their versions. Run it with -benchtime 1x.
func BenchmarkFailover(b *testing.B) {
	program, source := startSourceProcess(b)
	var relays []string
	var pids []int
	for i := range 3 {
		name := fmt.Sprint("relay-", i)
		address, pid := startProcess(b, program, "relay", "-listen", "127.0.0.1:0", "-name", name, "-upstream", source)
		relays = append(relays, address)
		pids = append(pids, pid)
	}
	followAll(b, relays...)
	client := httpapi.NewClient(nil)
	defer client.Close()
	for b.Loop() {
		awaitWaiting(b, client, relays...)
		var before, after distribution.Stats
		addStats(b, client, &before, relays[1:]...)
		if err := syscall.Kill(pids[0], syscall.SIGKILL); err != nil {
			b.Fatal(err)
		}
		killedAt := time.Now()
		awaitWaiting(b, client, relays[1:]...)
		b.ReportMetric(time.Since(killedAt).Seconds(), "s-to-all-resumed")
		addStats(b, client, &after, relays[1:]...)
		moved := float64(after.Sessions - before.Sessions)
		b.ReportMetric(moved, "moved")
		b.ReportMetric(float64(after.SnapshotUpdates-before.SnapshotUpdates), "whole-updates")
		b.ReportMetric(float64(after.RejectedSessions-before.RejectedSessions)/moved, "turned-away/moved")
		b.ReportMetric(float64(after.BytesIn-before.BytesIn)/moved, "B-in/moved")
	}
}

// addStats adds to sum the metrics of relays that the benchmarks use.
func addStats(b *testing.B, client *httpapi.Client, sum *distribution.Stats, relays ...string) {
	b.Helper()
	for _, relay := range relays {
		s := benchStats(b, client, relay)
		sum.Sessions += s.Sessions
		sum.WaitingReads += s.WaitingReads
		sum.SnapshotUpdates += s.SnapshotUpdates
		sum.RejectedSessions += s.RejectedSessions
		sum.BytesIn += s.BytesIn
	}
}

// awaitWaiting waits until nearly all followers wait for an update.
func awaitWaiting(b *testing.B, client *httpapi.Client, relays ...string) {
	b.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		var sum distribution.Stats
		addStats(b, client, &sum, relays...)
		if sum.WaitingReads >= benchSessions*99/100 { // some followers are always between two reads
			return
		}
		<-ticker.C
	}
}

// BenchmarkHeartbeat measures the allocations of a relay for a read without an update. Most of its
// time per operation is the hold.
func BenchmarkHeartbeat(b *testing.B) {
	n := New(Config{Name: "relay"})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := httpapi.NewServer(n)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(httpapi.Listener(l, 10, n.traffic))
	}()
	defer func() {
		_ = server.Close()
		<-ended
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	response := make([]byte, 4<<10)
	const request = "POST %s HTTP/1.1\r\nHost: 127.0.0.1:12345\r\nContent-Length: %d\r\n\r\n%s"
	send := func(body string) string {
		_, err := fmt.Fprintf(conn, request, httpapi.PathFollow, len(body), body)
		if err != nil {
			b.Fatal(err)
		}
		size, err := conn.Read(response)
		if err != nil {
			b.Fatal(err)
		}
		return string(response[:size])
	}
	opened := send(`{"follower":"proxy-12345","kind":"proxy","hold_ms":1,` +
		`"positions":[{"resource":"r","in_force":"1.1"}]}`)
	_, rest, _ := strings.Cut(opened, `"session":"`)
	session, _, _ := strings.Cut(rest, `"`)
	heartbeat := fmt.Sprintf(`{"follower":"proxy-12345","kind":"proxy","session":"%s","hold_ms":1}`, session)
	b.ReportAllocs()
	for b.Loop() {
		send(heartbeat)
	}
}

// BenchmarkSessionMemory measures the memory that a relay uses for a follower of ten resources,
// without the connection.
func BenchmarkSessionMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		sessions := distribution.NewSessions(distribution.DefaultSessionLimits())
		for i := range benchSessions {
			req := &distribution.FollowRequest{
				Follower: fmt.Sprint("proxy-", i),
				Kind:     distribution.KindProxy,
				HoldMs:   4_000,
			}
			for r := range benchResources {
				req.Positions = append(req.Positions, distribution.Position{Resource: fmt.Sprint("service-", r)})
			}
			if _, _, err := sessions.Open(fmt.Sprint("s", i), req, time.Unix(0, 0)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/benchSessions, "B/session")
		runtime.KeepAlive(sessions)
	}
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// followAll starts the followers and waits until they have all resources. Each further update calls
// Done of the returned WaitGroup.
func followAll(b *testing.B, relays ...string) *sync.WaitGroup {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	updates := new(sync.WaitGroup)
	updates.Add(benchSessions * benchResources)
	for i := range benchSessions {
		f := follow.New(follow.Config{Name: fmt.Sprintf("proxy-%d", i), Kind: distribution.KindProxy, Relays: relays})
		for r := range benchResources {
			f.Subscribe(fmt.Sprintf("service-%d", r), distribution.Version{}, countingSubscriber{updates: updates})
		}
		running.Go(func() { f.Run(ctx) })
	}
	updates.Wait()
	return updates
}

// countingSubscriber is a subscriber that calls Done for each update.
type countingSubscriber struct{ updates *sync.WaitGroup }

// ApplyUpdate implements follow.Subscriber.
func (s countingSubscriber) ApplyUpdate(distribution.Update) error {
	s.updates.Done()
	return nil
}

// UpdateFailed implements follow.Subscriber.
func (countingSubscriber) UpdateFailed() {}
