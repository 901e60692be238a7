package node

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// startFleet starts a source with resources and a relay behind it. It returns their addresses and
// the process ID of the relay.
func startFleet(b *testing.B) (source, relay string, pid int) {
	b.Helper()
	program, source := startSourceProcess(b)
	relay, pid = startProcess(b, program, "relay", "-listen", "127.0.0.1:0", "-name", "relay", "-upstream", source)
	return source, relay, pid
}

// startSourceProcess builds the program and starts a source with resources. It returns the path of
// the program and the address of the source.
func startSourceProcess(b *testing.B) (program, source string) {
	b.Helper()
	program = filepath.Join(b.TempDir(), "fernrelay")
	out, err := exec.Command("go", "build", "-o", program, "fernlanding/cmd/fernrelay").CombinedOutput()
	if err != nil {
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

// benchPut writes changes at a source.
func benchPut(b *testing.B, address, resource string, items ...distribution.Item) {
	b.Helper()
	c := httpapi.NewClient(nil)
	defer c.Close()
	_, err := c.Put(context.Background(), address, &distribution.PutRequest{Resource: resource, Items: items})
	if err != nil {
		b.Fatal(err)
	}
}

// benchStats returns the metrics of a source or relay.
func benchStats(b *testing.B, client *httpapi.Client, address string) *distribution.Stats {
	b.Helper()
	s, err := client.Stats(context.Background(), address)
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// startProcess starts the program until the benchmark ends, and returns its address and process ID.
func startProcess(b *testing.B, program string, args ...string) (address string, pid int) {
	b.Helper()
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

// cpuSeconds returns the CPU time of a process in seconds.
func cpuSeconds(b *testing.B, pid int) float64 {
	b.Helper()
	const ticksPerSecond, userField, systemField = 100, 11, 12 // field indexes after the process name
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseFloat(fields[userField], 64)
	if err != nil {
		b.Fatal(err)
	}
	system, err := strconv.ParseFloat(fields[systemField], 64)
	if err != nil {
		b.Fatal(err)
	}
	return (user + system) / ticksPerSecond
}

// rssBytes returns the resident set size of a process in bytes.
func rssBytes(b *testing.B, pid int) int {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	if err != nil {
		b.Fatal(err)
	}
	return pages * os.Getpagesize()
}
