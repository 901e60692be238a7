package node

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/httpapi"
)

// benchSessions is how many followers a relay of the benchmark has, and benchResources how many resources each follows.
const (
	benchSessions  = 2_000
	benchResources = 10
	benchRest      = 20 * time.Second
)

// BenchmarkRelayAtRest measures a relay process of its own with followers that have all they follow: run it with
// -benchtime 1x.
func BenchmarkRelayAtRest(b *testing.B) {
	_, relay, pid := startFleet(b)
	followAll(b, relay)
	client := httpapi.NewClient(nil)
	defer client.Close()
	for b.Loop() {
		before, cpu := benchStats(b, client, relay), cpuSeconds(b, pid)
		time.Sleep(benchRest) // what is measured is the rest
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

// startFleet starts a source with resources, and a relay behind it.
func startFleet(b *testing.B) (source, relay string, pid int) {
	program, source := startSourceProcess(b)
	relay, pid = startProcess(b, program, "relay", "-listen", "127.0.0.1:0", "-name", "relay", "-upstream", source)
	return source, relay, pid
}

// startSourceProcess builds the program and starts a source with resources.
func startSourceProcess(b *testing.B) (program, source string) {
	program = filepath.Join(b.TempDir(), "fernrelay")
	if out, err := exec.Command("go", "build", "-o", program, "fernlanding/cmd/fernrelay").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	source, _ = startProcess(b, program, "source", "-listen", "127.0.0.1:0", "-state", b.TempDir())
	for r := range benchResources {
		items := make([]distribution.Item, 23)
		for i := range items {
			items[i] = item(fmt.Sprintf("backend-%d", i), strings.Repeat("x", 100))
		}
		benchPut(b, source, fmt.Sprintf("service-%d", r), items...)
	}
	return program, source
}

// BenchmarkChange measures what one urgent change costs that goes to all followers of a relay process.
func BenchmarkChange(b *testing.B) {
	source, relay, pid := startFleet(b)
	got := followAll(b, relay)
	client := httpapi.NewClient(nil)
	defer client.Close()
	awaitWaiting(b, client, relay)
	before, cpu := benchStats(b, client, relay), cpuSeconds(b, pid)
	changes := 0
	for b.Loop() {
		got.Add(benchSessions)
		changes++
		benchPut(b, source, "service-0", urgently(item("backend-0", fmt.Sprint(changes))))
		got.Wait()
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

// BenchmarkFailover measures how the followers of a relay that is killed go on at two others that know what they have: run
// it with -benchtime 1x.
func BenchmarkFailover(b *testing.B) {
	program, source := startSourceProcess(b)
	var relays []string
	var pids []int
	for i := range 3 {
		address, pid := startProcess(b, program, "relay", "-listen", "127.0.0.1:0", "-name", fmt.Sprint("relay-", i), "-upstream", source)
		relays, pids = append(relays, address), append(pids, pid)
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
		began := time.Now()
		awaitWaiting(b, client, relays[1:]...)
		b.ReportMetric(time.Since(began).Seconds(), "s-to-all-resumed")
		addStats(b, client, &after, relays[1:]...)
		moved := float64(after.Sessions - before.Sessions)
		b.ReportMetric(moved, "moved")
		b.ReportMetric(float64(after.FullUpdates-before.FullUpdates), "whole-updates")
		b.ReportMetric(float64(after.RejectedSessions-before.RejectedSessions)/moved, "turned-away/moved")
		b.ReportMetric(float64(after.BytesIn-before.BytesIn)/moved, "B-in/moved")
	}
}

// addStats adds relays' counters up, those that the benchmark reads.
func addStats(b *testing.B, client *httpapi.Client, sum *distribution.Stats, relays ...string) {
	for _, relay := range relays {
		s := benchStats(b, client, relay)
		sum.Sessions += s.Sessions
		sum.WaitingReads += s.WaitingReads
		sum.FullUpdates += s.FullUpdates
		sum.RejectedSessions += s.RejectedSessions
		sum.BytesIn += s.BytesIn
	}
}

// awaitWaiting waits until nearly all followers wait for news.
func awaitWaiting(b *testing.B, client *httpapi.Client, relays ...string) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		var sum distribution.Stats
		addStats(b, client, &sum, relays...)
		if sum.WaitingReads >= benchSessions*99/100 { // some are always between two reads
			return
		}
		<-ticker.C
	}
}

// BenchmarkHeartbeat counts the allocations of a relay for a read without news; its time is mostly the hold.
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
	defer conn.Close()
	answer := make([]byte, 4<<10)
	ask := func(body string) string {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1:12345\r\nContent-Length: %d\r\n\r\n%s", httpapi.PathFollow, len(body), body)
		if err != nil {
			b.Fatal(err)
		}
		size, err := conn.Read(answer)
		if err != nil {
			b.Fatal(err)
		}
		return string(answer[:size])
	}
	_, opened, _ := strings.Cut(ask(`{"follower":"proxy-12345","kind":"proxy","hold_ms":1,"positions":[{"resource":"r","in_force":"1.1"}]}`), `"session":"`)
	session, _, _ := strings.Cut(opened, `"`)
	request := fmt.Sprintf(`{"follower":"proxy-12345","kind":"proxy","session":"%s","hold_ms":1}`, session)
	b.ReportAllocs()
	for b.Loop() {
		ask(request)
	}
}

// BenchmarkSessionMemory tells what a relay keeps of a follower of ten resources, beside its connection.
func BenchmarkSessionMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		sessions := distribution.NewSessions(distribution.DefaultSessionLimits())
		for i := range benchSessions {
			req := &distribution.FollowRequest{Follower: fmt.Sprint("proxy-", i), Kind: distribution.KindProxy, HoldMs: 4_000}
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

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// followAll starts the followers and waits until they have everything. What is returned counts each further update down.
func followAll(b *testing.B, relays ...string) *sync.WaitGroup {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	have := new(sync.WaitGroup)
	have.Add(benchSessions * benchResources)
	for i := range benchSessions {
		f := follow.New(follow.Config{Name: fmt.Sprintf("proxy-%d", i), Kind: distribution.KindProxy, Relays: relays})
		for r := range benchResources {
			f.Subscribe(fmt.Sprintf("service-%d", r), distribution.Version{}, countDown{have})
		}
		running.Go(func() { f.Run(ctx) })
	}
	have.Wait()
	return have
}

// countDown counts updates.
type countDown struct{ left *sync.WaitGroup }

func (c countDown) ApplyUpdate(distribution.Update) error {
	c.left.Done()
	return nil
}

func (countDown) UpdateFailed() {}

func benchPut(b *testing.B, address, resource string, items ...distribution.Item) {
	c := httpapi.NewClient(nil)
	defer c.Close()
	if _, err := c.Put(context.Background(), address, &distribution.PutRequest{Resource: resource, Items: items}); err != nil {
		b.Fatal(err)
	}
}

func benchStats(b *testing.B, client *httpapi.Client, address string) *distribution.Stats {
	s, err := client.Stats(context.Background(), address)
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// startProcess starts the program, and returns where it listens.
func startProcess(b *testing.B, program string, args ...string) (address string, pid int) {
	c := exec.Command(program, args...)
	out, err := c.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	if _, err := fmt.Fscanf(out, "listening %s\n", &address); err != nil {
		b.Fatal(err)
	}
	return address, c.Process.Pid
}

// cpuSeconds is the processor time of a process.
func cpuSeconds(b *testing.B, pid int) float64 {
	const ticksPerSecond, userField, systemField = 100, 11, 12 // of those behind the name
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[userField], 64)
	system, _ := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / ticksPerSecond
}

// rssBytes is the resident memory of a process.
func rssBytes(b *testing.B, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(text))[1])
	return pages * os.Getpagesize()
}
