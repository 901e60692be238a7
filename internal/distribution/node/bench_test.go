package node

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
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
	program := filepath.Join(b.TempDir(), "fernrelay")
	if out, err := exec.Command("go", "build", "-o", program, "fernlanding/cmd/fernrelay").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	source, _ := startProcess(b, program, "source", "-listen", "127.0.0.1:0", "-state", b.TempDir())
	for r := range benchResources {
		items := make([]distribution.Item, 23)
		for i := range items {
			items[i] = item(fmt.Sprintf("backend-%d", i), strings.Repeat("x", 100))
		}
		benchPut(b, source, fmt.Sprintf("service-%d", r), items...)
	}
	relay, pid := startProcess(b, program, "relay", "-listen", "127.0.0.1:0", "-name", "relay", "-upstream", source)
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

// followAll starts the followers and waits until they have everything.
func followAll(b *testing.B, relay string) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var have sync.WaitGroup
	have.Add(benchSessions * benchResources)
	for i := range benchSessions {
		f := follow.New(follow.Config{Name: fmt.Sprintf("proxy-%d", i), Kind: distribution.KindProxy, Relays: []string{relay}})
		for r := range benchResources {
			f.Subscribe(fmt.Sprintf("service-%d", r), distribution.Version{}, countDown{&have})
		}
		running.Go(func() { f.Run(ctx) })
	}
	have.Wait()
}

// countDown counts the first update of each resource.
type countDown struct{ left *sync.WaitGroup }

func (c countDown) Updated(distribution.Update) error {
	c.left.Done()
	return nil
}

func (countDown) Missed() {}

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
