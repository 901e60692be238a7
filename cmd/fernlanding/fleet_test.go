package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/distribution/node/nodetest"
	"fernlanding/internal/standin"
)

// relayProcess is a relay in a process of its own, behind a gate that counts connections.
type relayProcess struct {
	*process
	gate   *nodetest.FaultProxy
	direct string // its own address
}

// fleet is a source, two relays and a sidecar, each in a process, and two backends.
type fleet struct {
	t       *testing.T
	dir     string // of the programs
	client  *httpapi.Client
	source  string // its address
	relays  [2]relayProcess
	file    string // the sidecar's
	address string // of its listener
	sidecar *process
	one     *standin.Backend
	two     *standin.Backend
}

// startFleet runs a fleet without the sidecar until the test ends.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t:       t,
		dir:     buildPrograms(t),
		client:  httpapi.NewClient(nil),
		file:    filepath.Join(t.TempDir(), "app.toml"),
		address: freeAddress(t),
	}
	t.Cleanup(f.client.Close)
	f.source = f.start("fernrelay", "source", "-listen", "127.0.0.1:0", "-state", t.TempDir()).listening(t)
	for i := range f.relays {
		name := fmt.Sprintf("relay-%d", i)
		p := f.start("fernrelay", "relay", "-listen", "127.0.0.1:0", "-name", name, "-upstream", f.source)
		direct := p.listening(t)
		f.relays[i] = relayProcess{process: p, gate: nodetest.NewFaultProxy(t, direct), direct: direct}
	}
	f.one, f.two = startBackend(t), startBackend(t)
	t.Cleanup(f.logStateOnFailure)
	return f
}

// startBackend starts a backend until the test ends.
func startBackend(t *testing.T) *standin.Backend {
	t.Helper()
	backend, err := standin.NewBackend(standin.Echo)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backend.Close)
	return backend
}

// start runs one of the programs until the test ends.
func (f *fleet) start(program string, args ...string) *process {
	f.t.Helper()
	return startProgram(f.t, filepath.Join(f.dir, program), args...)
}

// configure writes the sidecar's file with services, each of which follows the list of its name.
func (f *fleet) configure(services ...string) {
	f.t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "version = 2\nname = \"test\"\nlisteners = [{ address = %q }]\n", f.address)
	relays := [2]string{f.relays[0].gate.Address, f.relays[1].gate.Address}
	fmt.Fprintf(&text, "[distribution]\nname = \"sidecar\"\nrelays = [%q, %q]\n", relays[0], relays[1])
	for _, service := range services {
		text.WriteString(serviceText(service, "membership = \"relay\"\n"))
	}
	if err := os.WriteFile(f.file, []byte(text.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// reload has the sidecar reload its file, with other services, and waits until that is applied.
func (f *fleet) reload(services ...string) {
	f.t.Helper()
	f.configure(services...)
	if err := f.sidecar.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		f.t.Fatal(err)
	}
	f.sidecar.line(f.t, "configuration applied\"")
}

// put writes a backend to a list at the source.
func (f *fleet) put(list, name string, b *standin.Backend, status string) distribution.Version {
	f.t.Helper()
	value, err := json.Marshal(map[string]any{"address": b.Addr(), "status": status})
	if err != nil {
		f.t.Fatal(err)
	}
	item := distribution.Item{Key: name, Value: value, Urgent: status == "draining"}
	put := &distribution.PutRequest{Resource: "lists/" + list, Items: []distribution.Item{item}}
	version, err := f.client.Put(f.t.Context(), f.source, put)
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// waitForVersion waits until a source or relay reports that a version of a list is in force at the
// sidecar, and at no other proxy.
func (f *fleet) waitForVersion(reporter, list string, v distribution.Version) {
	f.t.Helper()
	waitUntil(f.t, fmt.Sprintf("%s %s in force", list, v), func() bool {
		s, err := f.client.Status(f.t.Context(), reporter, "lists/"+list)
		return err == nil && len(s.Counts) == 1 && s.Counts[0] == distribution.VersionCount{Version: v, Proxies: 1}
	})
}

// logStateOnFailure logs the state of the source and the relays, if the test has failed.
func (f *fleet) logStateOnFailure() {
	if !f.t.Failed() {
		return
	}
	for _, address := range []string{f.source, f.relays[0].direct, f.relays[1].direct} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := f.client.Status(ctx, address, "lists/one")
		stats, _ := f.client.Stats(ctx, address)
		cancel()
		f.t.Logf("%s: %+v, %v; %+v", address, status, err, stats)
	}
}

// send sends requests to a service, one after the other, and returns how many were answered with
// 200.
func (f *fleet) send(service string, n int) (served int) {
	f.t.Helper()
	for range n {
		if f.sendOne(service) {
			served++
		}
	}
	return served
}

// sendOne sends a request to a service, and reports whether it was answered with 200.
func (f *fleet) sendOne(service string) bool {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), eventTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+"/"+service, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitForRequestAt sends requests to a service, all of which must be served, until a backend has
// got one more: which backend gets how many of them is the module's choice, and connections to a
// new one are opened at a limited rate.
func (f *fleet) waitForRequestAt(service string, b *standin.Backend) {
	f.t.Helper()
	before := b.Requests()
	waitUntil(f.t, "a request to the backend that was added", func() bool {
		if f.send(service, 1) != 1 {
			f.t.Error("a request is not served while a backend is added")
		}
		return b.Requests() > before
	})
}

// stats returns a relay's stats; zero if it does not answer.
func (f *fleet) stats(relay relayProcess) distribution.Stats {
	s, err := f.client.Stats(f.t.Context(), relay.direct)
	if err != nil {
		return distribution.Stats{}
	}
	return *s
}

// relaysInUse returns the relay that the sidecar reads from, and the other.
func (f *fleet) relaysInUse() (inUse, other relayProcess) {
	f.t.Helper()
	waitUntil(f.t, "one relay has the sidecar's session", func() bool {
		for i := range f.relays {
			if f.stats(f.relays[i]).Sessions == 1 {
				inUse, other = f.relays[i], f.relays[1-i]
				return true
			}
		}
		return false
	})
	return inUse, other
}

// startSidecar starts the sidecar with one service, and waits until its first list is in force.
func (f *fleet) startSidecar() {
	f.t.Helper()
	v := f.put("one", "a", f.one, "serving")
	f.configure("one")
	f.sidecar = f.start("fernlanding", "-config", f.file)
	f.sidecar.line(f.t, "msg=ready") // or it has ended
	f.waitForVersion(f.source, "one", v)
	if served := f.send("one", 1); served != 1 {
		f.t.Fatal("the first request is not served")
	}
}

// checkReloadsKeepConnections adds and removes a service by reloads. A follower has two connections
// at most: one for its blocking read, and one for what can't wait for that to end.
func (f *fleet) checkReloadsKeepConnections(relay relayProcess) {
	f.t.Helper()
	v := f.put("two", "a", f.two, "serving")
	for range 3 {
		f.reload("one", "two")
		f.waitForVersion(relay.direct, "two", v)
		if served := f.send("two", 1); served != 1 {
			f.t.Error("a service that was added is not served")
		}
		f.reload("one")
		waitUntil(f.t, "nobody follows the list of the service that was removed", func() bool {
			s, err := f.client.Status(f.t.Context(), relay.direct, "lists/two")
			return err == nil && (len(s.Counts) == 0 || s.Counts[0].Proxies == 0)
		})
	}
	if n := relay.gate.AcceptedConns(); n > 2 {
		f.t.Errorf("%d connections", n)
	}
	if s := f.stats(relay); s.Sessions != 1 {
		f.t.Errorf("%d sessions", s.Sessions)
	}
}
