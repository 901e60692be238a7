package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/distribution/node/nodetest"
	"fernlanding/internal/standin"
)

const (
	restServices = 20
	restBackends = 200
	restSettle   = 5 * time.Second
	restWindow   = 20 * time.Second
)

// restMembers are the backends of every list.
func restMembers() (all []standin.Member) {
	for i := range restBackends {
		all = append(all, standin.Member{Name: fmt.Sprintf("backend-%03d", i), Address: fmt.Sprintf("127.0.0.1:%d", 20_000+i), Status: "SERVING"})
	}
	return all
}

// BenchmarkAtRest is a sidecar in a process of its own that follows 20 lists of 200 backends while nothing changes, by
// blocking reads of a health API and by a relay. Run it with -benchtime 1x: each iteration takes 25 s.
func BenchmarkAtRest(b *testing.B) {
	dir := programs(b)
	b.Run("consul", func(b *testing.B) { measureAtRest(b, dir, followHealth) })
	b.Run("relay", func(b *testing.B) { measureAtRest(b, dir, followRelay) })
}

// followHealth returns a gate before a health API, and the lines of a file that follow it: of the whole and of a service.
func followHealth(b *testing.B, _ string) (gate *nodetest.Gate, top, service string) {
	h, err := standin.NewHealth()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(h.Close)
	h.Put(restMembers()...)
	gate = nodetest.NewGate(b, h.Addr())
	return gate, "", fmt.Sprintf("membership = \"consul\"\ndiscovery = %q\n", gate.Address)
}

// followRelay is the same for a relay.
func followRelay(b *testing.B, dir string) (gate *nodetest.Gate, top, service string) {
	source := startProgram(b, filepath.Join(dir, "fernrelay"), "source", "-listen", "127.0.0.1:0", "-state", b.TempDir()).listening(b)
	relay := startProgram(b, filepath.Join(dir, "fernrelay"), "relay", "-listen", "127.0.0.1:0", "-name", "relay", "-upstream", source).listening(b)
	var items []distribution.Item
	for _, m := range restMembers() {
		value, err := json.Marshal(map[string]any{"address": m.Address})
		if err != nil {
			b.Fatal(err)
		}
		items = append(items, distribution.Item{Key: m.Name, Value: value})
	}
	calls := httpapi.NewClient(nil)
	defer calls.Close()
	for i := range restServices {
		if _, err := calls.Put(b.Context(), source, &distribution.PutRequest{Resource: "lists/" + restService(i), Items: items}); err != nil {
			b.Fatal(err)
		}
	}
	gate = nodetest.NewGate(b, relay)
	return gate, fmt.Sprintf("[distribution]\nrelays = [%q]\n", gate.Address), "membership = \"relay\"\n"
}

func restService(i int) string { return fmt.Sprintf("service-%02d", i) }

// measureAtRest measures a sidecar that follows lists and gets no requests.
func measureAtRest(b *testing.B, dir string, follow func(*testing.B, string) (gate *nodetest.Gate, top, service string)) {
	gate, top, service := follow(b, dir)
	var file strings.Builder
	fmt.Fprintf(&file, "version = 2\nname = \"rest\"\nlisteners = [{ address = %q }]\n%s", freeAddress(b), top)
	for i := range restServices {
		name := restService(i)
		fmt.Fprintf(&file, "[services.%s]\n%s[services.%s.classes.look]\nrepeat = \"safe\"\n[[routes]]\nname = %q\nprefix = \"/%s\"\nservice = %q\n", name, service, name, name, name, name)
	}
	path := filepath.Join(b.TempDir(), "app.toml")
	if err := os.WriteFile(path, []byte(file.String()), 0o600); err != nil {
		b.Fatal(err)
	}
	p := startProgram(b, filepath.Join(dir, "fernlanding"), "-config", path)
	p.line(b, "msg=ready")
	for b.Loop() {
		<-time.After(restSettle)
		pid := p.cmd.Process.Pid
		bytes, used, began := gate.Carried(), cpu(b, pid), time.Now()
		<-time.After(restWindow)
		took := time.Since(began).Seconds()
		b.ReportMetric(float64(gate.Carried()-bytes)/took, "B/s")
		b.ReportMetric((cpu(b, pid)-used).Seconds()/took*100, "%core")
		b.ReportMetric(resident(b, pid), "MB-RSS")
		b.ReportMetric(float64(gate.Accepted()), "conns")
	}
}

// resident is the memory that a process has, in MB.
func resident(b *testing.B, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		b.Fatal(err)
	}
	return kilobytes / 1024
}
