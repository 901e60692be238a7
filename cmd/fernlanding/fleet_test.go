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

// relayProcess is a relay in a process of its own, with a proxy that counts connections in front of
// it.
type relayProcess struct {
	*process
	faultProxy    *nodetest.FaultProxy
	listenAddress string // address of the relay itself, not of faultProxy
}

// fleet is a source, two relays and a sidecar, each in a process of its own, and two backends.
type fleet struct {
	t               *testing.T
	programDir      string // directory of the programs
	client          *httpapi.Client
	sourceAddress   string
	relays          [2]relayProcess
	configFile      string // configuration file of the sidecar
	listenerAddress string // address of the sidecar's listener
	sidecar         *process
	firstBackend    *standin.Backend
	secondBackend   *standin.Backend
}

// startFleet starts a fleet without the sidecar. The fleet runs until the test ends.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t:               t,
		programDir:      buildPrograms(t),
		client:          httpapi.NewClient(nil),
		configFile:      filepath.Join(t.TempDir(), "app.toml"),
		listenerAddress: freeAddress(t),
	}
	t.Cleanup(f.client.Close)
	source := f.start("fernrelay", "source", "-listen", "127.0.0.1:0", "-state", t.TempDir())
	f.sourceAddress = source.waitForListenAddress(t)
	for i := range f.relays {
		name := fmt.Sprintf("relay-%d", i)
		p := f.start("fernrelay", "relay", "-listen", "127.0.0.1:0", "-name", name, "-upstream", f.sourceAddress)
		address := p.waitForListenAddress(t)
		f.relays[i] = relayProcess{process: p, faultProxy: nodetest.NewFaultProxy(t, address), listenAddress: address}
	}
	f.firstBackend, f.secondBackend = startBackend(t), startBackend(t)
	t.Cleanup(f.logStateOnFailure)
	return f
}

// startBackend starts a backend that runs until the test ends.
func startBackend(t *testing.T) *standin.Backend {
	t.Helper()
	backend, err := standin.NewBackend(standin.Echo)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backend.Close)
	return backend
}

// start starts one of the programs. The program runs until the test ends.
func (f *fleet) start(program string, args ...string) *process {
	f.t.Helper()
	return startProgram(f.t, filepath.Join(f.programDir, program), args...)
}

// configure writes the sidecar's configuration file with services. Each service follows the list of
// the same name.
func (f *fleet) configure(services ...string) {
	f.t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "version = 2\nname = \"test\"\nlisteners = [{ address = %q }]\n", f.listenerAddress)
	relays := [2]string{f.relays[0].faultProxy.Address, f.relays[1].faultProxy.Address}
	fmt.Fprintf(&text, "[distribution]\nname = \"sidecar\"\nrelays = [%q, %q]\n", relays[0], relays[1])
	for _, service := range services {
		text.WriteString(serviceConfig(service, "membership = \"relay\"\n"))
	}
	if err := os.WriteFile(f.configFile, []byte(text.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// reload configures services, makes the sidecar reload its file, and waits until the configuration
// is applied.
func (f *fleet) reload(services ...string) {
	f.t.Helper()
	f.configure(services...)
	if err := f.sidecar.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		f.t.Fatal(err)
	}
	f.sidecar.waitForLine(f.t, "configuration applied\"")
}

// put writes a backend to a list at the source, and returns the new version of the list.
func (f *fleet) put(list, name string, b *standin.Backend, status string) distribution.Version {
	f.t.Helper()
	value, err := json.Marshal(map[string]any{"address": b.Addr(), "status": status})
	if err != nil {
		f.t.Fatal(err)
	}
	item := distribution.Item{Key: name, Value: value, Urgent: status == "draining"}
	put := &distribution.PutRequest{Resource: "lists/" + list, Items: []distribution.Item{item}}
	version, err := f.client.Put(f.t.Context(), f.sourceAddress, put)
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// waitForVersion waits until a source or relay reports that the sidecar has a version of a list in
// force, and reports no other proxy.
func (f *fleet) waitForVersion(reporter, list string, v distribution.Version) {
	f.t.Helper()
	waitUntil(f.t, fmt.Sprintf("%s %s in force", list, v), func() bool {
		s, err := f.client.Status(f.t.Context(), reporter, "lists/"+list)
		return err == nil && len(s.Counts) == 1 && s.Counts[0] == distribution.VersionCount{Version: v, Proxies: 1}
	})
}

// logStateOnFailure logs the state of the source and the relays if the test has failed.
func (f *fleet) logStateOnFailure() {
	if !f.t.Failed() {
		return
	}
	for _, address := range []string{f.sourceAddress, f.relays[0].listenAddress, f.relays[1].listenAddress} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := f.client.Status(ctx, address, "lists/one")
		stats, _ := f.client.Stats(ctx, address)
		cancel()
		f.t.Logf("%s: %+v, %v; %+v", address, status, err, stats)
	}
}

// send sends requests to a service, one after the other, and returns the number of responses with
// status 200.
func (f *fleet) send(service string, n int) (served int) {
	f.t.Helper()
	for range n {
		if f.sendOne(service) {
			served++
		}
	}
	return served
}

// sendOne sends a request to a service, and reports whether the response had status 200.
func (f *fleet) sendOne(service string) bool {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), eventTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.listenerAddress+"/"+service, nil)
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

// waitForRequestAt sends requests to a service until a backend has received one more. All requests
// must be served. The number of requests is not known in advance, because the balancer selects the
// backends, and connections to a new backend are opened at a limited rate.
func (f *fleet) waitForRequestAt(service string, b *standin.Backend) {
	f.t.Helper()
	before := b.Requests()
	waitUntil(f.t, "a request reaches the added backend", func() bool {
		if f.send(service, 1) != 1 {
			f.t.Error("request not served while a backend was being added")
		}
		return b.Requests() > before
	})
}

// stats returns the stats of a relay, or zero stats if the relay does not respond.
func (f *fleet) stats(relay relayProcess) distribution.Stats {
	s, err := f.client.Stats(f.t.Context(), relay.listenAddress)
	if err != nil {
		return distribution.Stats{}
	}
	return *s
}

// relaysInUse returns the relay that the sidecar reads from, and the other relay.
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

// startSidecar starts the sidecar with one service, and waits until the service's first list is in
// force.
func (f *fleet) startSidecar() {
	f.t.Helper()
	v := f.put("one", "a", f.firstBackend, "serving")
	f.configure("one")
	f.sidecar = f.start("fernlanding", "-config", f.configFile)
	f.sidecar.waitForLine(f.t, "msg=ready") // fails the test if the sidecar exits
	f.waitForVersion(f.sourceAddress, "one", v)
	if served := f.send("one", 1); served != 1 {
		f.t.Fatal("first request not served")
	}
}

// checkReloadsKeepConnections adds and removes a service by reloads, and checks that they open no
// further connections to a relay. A follower has at most two connections: one for its long poll,
// and one for requests that cannot wait for the end of the long poll.
func (f *fleet) checkReloadsKeepConnections(relay relayProcess) {
	f.t.Helper()
	v := f.put("two", "a", f.secondBackend, "serving")
	for range 3 {
		f.reload("one", "two")
		f.waitForVersion(relay.listenAddress, "two", v)
		if served := f.send("two", 1); served != 1 {
			f.t.Error("request to an added service not served")
		}
		f.reload("one")
		waitUntil(f.t, "no proxy follows the list of the removed service", func() bool {
			s, err := f.client.Status(f.t.Context(), relay.listenAddress, "lists/two")
			return err == nil && (len(s.Counts) == 0 || s.Counts[0].Proxies == 0)
		})
	}
	if n := relay.faultProxy.AcceptedConns(); n > 2 {
		f.t.Errorf("connections to the relay: got %d, want at most 2", n)
	}
	if s := f.stats(relay); s.Sessions != 1 {
		f.t.Errorf("sessions at the relay: got %d, want 1", s.Sessions)
	}
}
