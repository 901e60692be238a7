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
	idleServices   = 20
	idleBackends   = 200
	idleSettleTime = 5 * time.Second
	idleWindow     = 20 * time.Second
)

// idleMembers returns the members of every list.
func idleMembers() []standin.Member {
	var members []standin.Member
	for i := range idleBackends {
		members = append(members, standin.Member{
			Name:    fmt.Sprintf("backend-%03d", i),
			Address: fmt.Sprintf("127.0.0.1:%d", 20_000+i),
			Status:  "SERVING",
		})
	}
	return members
}

// BenchmarkAtRest measures a sidecar that follows 20 lists of 200 backends while no list changes.
// The sidecar is a process of its own. It follows the lists by blocking queries of a health API,
// and by a relay. Run it with -benchtime 1x, because each iteration takes 25 s.
func BenchmarkAtRest(b *testing.B) {
	dir := buildPrograms(b)
	b.Run("consul", func(b *testing.B) { measureIdle(b, dir, startHealthSource) })
	b.Run("relay", func(b *testing.B) { measureIdle(b, dir, startRelaySource) })
}

// listSource is a source of lists that a sidecar follows.
type listSource struct {
	faultProxy   *nodetest.FaultProxy // counts the bytes that the sidecar reads
	globalLines  string               // lines of the sidecar's file that configure the source
	serviceLines string               // lines of each service that configure its list
}

// startHealthSource starts a health API with the lists.
func startHealthSource(b *testing.B, _ string) listSource {
	b.Helper()
	health, err := standin.NewHealth()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(health.Close)
	health.Put(idleMembers()...)
	proxy := nodetest.NewFaultProxy(b, health.Addr())
	return listSource{
		faultProxy:   proxy,
		serviceLines: fmt.Sprintf("membership = \"consul\"\ndiscovery = %q\n", proxy.Address),
	}
}

// startRelaySource starts a source with the lists and a relay, from the programs in a directory.
func startRelaySource(b *testing.B, dir string) listSource {
	b.Helper()
	fernrelay := filepath.Join(dir, "fernrelay")
	const anyPort = "127.0.0.1:0"
	source := startProgram(b, fernrelay, "source", "-listen", anyPort, "-state", b.TempDir())
	sourceAddress := source.waitForListenAddress(b)
	relay := startProgram(b, fernrelay, "relay", "-listen", anyPort, "-name", "relay", "-upstream", sourceAddress)
	relayAddress := relay.waitForListenAddress(b)
	var items []distribution.Item
	for _, member := range idleMembers() {
		value, err := json.Marshal(map[string]any{"address": member.Address})
		if err != nil {
			b.Fatal(err)
		}
		items = append(items, distribution.Item{Key: member.Name, Value: value})
	}
	client := httpapi.NewClient(nil)
	defer client.Close()
	for i := range idleServices {
		put := &distribution.PutRequest{Resource: "lists/" + idleServiceName(i), Items: items}
		if _, err := client.Put(b.Context(), sourceAddress, put); err != nil {
			b.Fatal(err)
		}
	}
	proxy := nodetest.NewFaultProxy(b, relayAddress)
	return listSource{
		faultProxy:   proxy,
		globalLines:  fmt.Sprintf("[distribution]\nrelays = [%q]\n", proxy.Address),
		serviceLines: "membership = \"relay\"\n",
	}
}

// idleServiceName returns the name of a service and of its list.
func idleServiceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// measureIdle measures a sidecar that follows lists and receives no requests.
func measureIdle(b *testing.B, dir string, startSource func(*testing.B, string) listSource) {
	b.Helper()
	source := startSource(b, dir)
	var text strings.Builder
	fmt.Fprintf(&text, "version = 2\nname = \"rest\"\nlisteners = [{ address = %q }]\n", freeAddress(b))
	text.WriteString(source.globalLines)
	for i := range idleServices {
		text.WriteString(serviceConfig(idleServiceName(i), source.serviceLines))
	}
	path := filepath.Join(b.TempDir(), "app.toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		b.Fatal(err)
	}
	p := startProgram(b, filepath.Join(dir, "fernlanding"), "-config", path)
	p.waitForLine(b, "msg=ready")
	for b.Loop() {
		<-time.After(idleSettleTime)
		pid := p.cmd.Process.Pid
		bytesBefore, cpuBefore, start := source.faultProxy.ForwardedBytes(), cpuTime(b, pid), time.Now()
		<-time.After(idleWindow)
		elapsed := time.Since(start).Seconds()
		b.ReportMetric(float64(source.faultProxy.ForwardedBytes()-bytesBefore)/elapsed, "B/s")
		b.ReportMetric((cpuTime(b, pid)-cpuBefore).Seconds()/elapsed*100, "%core")
		b.ReportMetric(residentMB(b, pid), "MB-RSS")
		b.ReportMetric(float64(source.faultProxy.AcceptedConns()), "conns")
	}
}

// residentMB returns the resident memory of a process in MB.
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
