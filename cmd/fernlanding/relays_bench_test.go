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

// restMembers returns the backends of every list.
func restMembers() []standin.Member {
	var members []standin.Member
	for i := range restBackends {
		members = append(members, standin.Member{
			Name:    fmt.Sprintf("backend-%03d", i),
			Address: fmt.Sprintf("127.0.0.1:%d", 20_000+i),
			Status:  "SERVING",
		})
	}
	return members
}

// BenchmarkAtRest measures a sidecar in a process of its own that follows 20 lists of 200 backends
// while nothing changes, by blocking reads of a health API and by a relay. Run it with -benchtime
// 1x: each iteration takes 25 s.
func BenchmarkAtRest(b *testing.B) {
	dir := buildPrograms(b)
	b.Run("consul", func(b *testing.B) { measureAtRest(b, dir, followHealth) })
	b.Run("relay", func(b *testing.B) { measureAtRest(b, dir, followRelay) })
}

// restSource is a source of lists that a sidecar follows.
type restSource struct {
	gate    *nodetest.FaultProxy // counts what the sidecar reads
	file    string               // lines of the sidecar's file
	service string               // lines of each service
}

// followHealth returns a health API.
func followHealth(b *testing.B, _ string) restSource {
	b.Helper()
	health, err := standin.NewHealth()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(health.Close)
	health.Put(restMembers()...)
	gate := nodetest.NewFaultProxy(b, health.Addr())
	return restSource{gate: gate, service: fmt.Sprintf("membership = \"consul\"\ndiscovery = %q\n", gate.Address)}
}

// followRelay returns a relay, from the programs in a directory.
func followRelay(b *testing.B, dir string) restSource {
	b.Helper()
	fernrelay := filepath.Join(dir, "fernrelay")
	const anyPort = "127.0.0.1:0"
	source := startProgram(b, fernrelay, "source", "-listen", anyPort, "-state", b.TempDir()).listening(b)
	relay := startProgram(b, fernrelay, "relay", "-listen", anyPort, "-name", "relay", "-upstream", source).listening(b)
	var items []distribution.Item
	for _, member := range restMembers() {
		value, err := json.Marshal(map[string]any{"address": member.Address})
		if err != nil {
			b.Fatal(err)
		}
		items = append(items, distribution.Item{Key: member.Name, Value: value})
	}
	client := httpapi.NewClient(nil)
	defer client.Close()
	for i := range restServices {
		put := &distribution.PutRequest{Resource: "lists/" + restService(i), Items: items}
		if _, err := client.Put(b.Context(), source, put); err != nil {
			b.Fatal(err)
		}
	}
	gate := nodetest.NewFaultProxy(b, relay)
	return restSource{
		gate:    gate,
		file:    fmt.Sprintf("[distribution]\nrelays = [%q]\n", gate.Address),
		service: "membership = \"relay\"\n",
	}
}

// restService returns the name of a service and its list.
func restService(i int) string { return fmt.Sprintf("service-%02d", i) }

// measureAtRest measures a sidecar that follows lists and gets no requests.
func measureAtRest(b *testing.B, dir string, follow func(*testing.B, string) restSource) {
	b.Helper()
	source := follow(b, dir)
	var file strings.Builder
	fmt.Fprintf(&file, "version = 2\nname = \"rest\"\nlisteners = [{ address = %q }]\n", freeAddress(b))
	file.WriteString(source.file)
	for i := range restServices {
		file.WriteString(serviceText(restService(i), source.service))
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
		bytes, used, began := source.gate.ForwardedBytes(), cpuTime(b, pid), time.Now()
		<-time.After(restWindow)
		elapsed := time.Since(began).Seconds()
		b.ReportMetric(float64(source.gate.ForwardedBytes()-bytes)/elapsed, "B/s")
		b.ReportMetric((cpuTime(b, pid)-used).Seconds()/elapsed*100, "%core")
		b.ReportMetric(residentMB(b, pid), "MB-RSS")
		b.ReportMetric(float64(source.gate.AcceptedConns()), "conns")
	}
}

// residentMB returns the resident memory of a process, in MB.
func residentMB(b *testing.B, pid int) float64 {
	b.Helper()
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
