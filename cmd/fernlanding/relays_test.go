package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
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

const (
	eventually = 60 * time.Second     // for what must happen; only a failing test waits for it
	poll       = 5 * time.Millisecond // of what has no channel
)

// programs builds commands of the module, and returns the folder that has them.
func programs(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "fernlanding/cmd/fernlanding", "fernlanding/cmd/fernrelay")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// process is a program of the module that runs.
type process struct {
	cmd   *exec.Cmd
	lines chan string // of both of its outputs; further ones are dropped
	ended chan struct{}
	said  []string // its lines, the first of them; to be read once it has ended
}

const mostSaid = 50 // lines of a process that a failing test shows

// startProgram starts one until the test ends.
func startProgram(t testing.TB, path string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(path, args...), lines: make(chan string, 1000), ended: make(chan struct{})}
	out, in, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = in, in
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	in.Close()
	go func() {
		defer close(p.ended)
		for s := bufio.NewScanner(out); s.Scan(); {
			if len(p.said) < mostSaid {
				p.said = append(p.said, s.Text())
			}
			select {
			case p.lines <- s.Text():
			default:
			}
		}
		out.Close()
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s %v:\n%s", filepath.Base(path), args, strings.Join(p.said, "\n"))
		}
	})
	return p
}

// kill ends a process as a crash would.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// line waits for a line that has a text.
func (p *process) line(t testing.TB, with string) string {
	t.Helper()
	late := time.After(eventually)
	for {
		select {
		case l := <-p.lines:
			if strings.Contains(l, with) {
				return l
			}
		case <-p.ended:
			t.Fatalf("it ended without a line with %q", with)
		case <-late:
			t.Fatalf("no line with %q", with)
		}
	}
}

// listening is the address that a relay or source says it listens at.
func (p *process) listening(t testing.TB) string {
	t.Helper()
	_, address, _ := strings.Cut(p.line(t, "listening "), "listening ")
	return address
}

// until waits for something that has no channel.
func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for late := time.Now().Add(eventually); !ok(); time.Sleep(poll) {
		if time.Now().After(late) {
			t.Fatalf("never: %s", what)
		}
	}
}

// relayed is a relay in a process of its own, behind a gate that counts connections.
type relayed struct {
	*process
	gate   *nodetest.Gate
	direct string // its own address
}

// fleet is a source, two relays and a sidecar, each in a process, and two backends.
type fleet struct {
	t       *testing.T
	dir     string // of the programs
	calls   *httpapi.Client
	source  string
	relays  [2]relayed
	file    string // the sidecar's
	address string // of its listener
	sidecar *process
	one     *standin.Backend
	two     *standin.Backend
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: programs(t), calls: httpapi.NewClient(nil), file: filepath.Join(t.TempDir(), "app.toml"), address: freeAddress(t)}
	t.Cleanup(f.calls.Close)
	f.source = f.start("fernrelay", "source", "-listen", "127.0.0.1:0", "-state", t.TempDir()).listening(t)
	for i := range f.relays {
		p := f.start("fernrelay", "relay", "-listen", "127.0.0.1:0", "-name", fmt.Sprintf("relay-%d", i), "-upstream", f.source)
		direct := p.listening(t)
		f.relays[i] = relayed{p, nodetest.NewGate(t, direct), direct}
	}
	for _, b := range []**standin.Backend{&f.one, &f.two} {
		var err error
		if *b, err = standin.NewBackend(standin.Echo); err != nil {
			t.Fatal(err)
		}
		t.Cleanup((*b).Close)
	}
	t.Cleanup(f.show)
	return f
}

func (f *fleet) start(program string, args ...string) *process {
	f.t.Helper()
	return startProgram(f.t, filepath.Join(f.dir, program), args...)
}

// freeAddress is an address that nothing listens at now, below the ports that connections are opened from: on a busy
// machine one of these would be another's by the time that it is used.
func freeAddress(t testing.TB) string {
	t.Helper()
	const first, ports, tries = 10_000, 20_000, 100
	for range tries {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(ports)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	panic("unreachable")
}

// configure writes the sidecar's file with services, each of which follows the list of its name.
func (f *fleet) configure(services ...string) {
	f.t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "version = 2\nname = \"test\"\nlisteners = [{ address = %q }]\n[distribution]\nname = \"sidecar\"\nrelays = [%q, %q]\n",
		f.address, f.relays[0].gate.Address, f.relays[1].gate.Address)
	for _, s := range services {
		fmt.Fprintf(&b, "[services.%s]\nmembership = \"relay\"\n[services.%s.classes.look]\nrepeat = \"safe\"\n[[routes]]\nname = %q\nprefix = \"/%s\"\nservice = %q\n", s, s, s, s, s)
	}
	if err := os.WriteFile(f.file, []byte(b.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// reload has the sidecar take its file anew, and waits until it has.
func (f *fleet) reload(services ...string) {
	f.t.Helper()
	f.configure(services...)
	if err := f.sidecar.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		f.t.Fatal(err)
	}
	f.sidecar.line(f.t, "configuration applied\"")
}

// put writes a backend to a list.
func (f *fleet) put(list, name string, b *standin.Backend, status string) distribution.Version {
	f.t.Helper()
	value, err := json.Marshal(map[string]any{"address": b.Addr(), "status": status})
	if err != nil {
		f.t.Fatal(err)
	}
	item := distribution.Item{Key: name, Value: value, Urgent: status == "draining"}
	version, err := f.calls.Put(f.t.Context(), f.source, &distribution.PutRequest{Resource: "lists/" + list, Items: []distribution.Item{item}})
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// inForce waits until a source or relay has it that a version of a list is in force at the sidecar, and at no other proxy.
func (f *fleet) inForce(asked, list string, v distribution.Version) {
	f.t.Helper()
	until(f.t, fmt.Sprintf("%s %s in force", list, v), func() bool {
		s, err := f.calls.Status(f.t.Context(), asked, "lists/"+list)
		return err == nil && len(s.Counts) == 1 && s.Counts[0] == distribution.VersionCount{Version: v, Proxies: 1}
	})
}

// show logs what the source and the relays know, where the test has failed.
func (f *fleet) show() {
	if !f.t.Failed() {
		return
	}
	for _, address := range []string{f.source, f.relays[0].direct, f.relays[1].direct} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := f.calls.Status(ctx, address, "lists/one")
		stats, _ := f.calls.Stats(ctx, address)
		cancel()
		f.t.Logf("%s: %+v, %v; %+v", address, status, err, stats)
	}
}

// ask sends requests to a service, one after the other, and returns how many were answered with 200.
func (f *fleet) ask(service string, n int) (served int) {
	f.t.Helper()
	for range n {
		ctx, cancel := context.WithTimeout(f.t.Context(), eventually)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+"/"+service, nil)
		if err != nil {
			f.t.Fatal(err)
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				served++
			}
		}
		cancel()
	}
	return served
}

// reaches sends requests to a service, all of which must be served, until a backend has got one more: which backend gets
// how many of them is the module's choice, and connections to a new one are opened at a pace.
func (f *fleet) reaches(service string, b *standin.Backend) {
	f.t.Helper()
	before := b.Requests()
	until(f.t, "a request to the backend that has come", func() bool {
		if f.ask(service, 1) != 1 {
			f.t.Error("a request is not served while backends come")
		}
		return b.Requests() > before
	})
}

func (f *fleet) stats(r relayed) distribution.Stats {
	s, err := f.calls.Stats(f.t.Context(), r.direct)
	if err != nil {
		return distribution.Stats{}
	}
	return *s
}

// inUse returns the relay that the sidecar reads from, and the other.
func (f *fleet) inUse() (in, other relayed) {
	f.t.Helper()
	until(f.t, "one relay has the sidecar's session", func() bool {
		for i := range f.relays {
			if f.stats(f.relays[i]).Sessions == 1 {
				in, other = f.relays[i], f.relays[1-i]
				return true
			}
		}
		return false
	})
	return in, other
}

// A sidecar before relays, all in processes of their own: changes come as changes, a drain is in force where the source
// says so, the other relay resumes for one that is killed, services come and go over the same connections, and with all
// relays dead it serves on and says how old its lists are.
func TestASidecarFollowsRelays(t *testing.T) {
	f := startFleet(t)
	const requests = 40
	f.inForceAfterStart()
	first, second := f.inUse()

	f.inForce(f.source, "one", f.put("one", "b", f.two, "serving"))
	f.reaches("one", f.two)
	f.inForce(f.source, "one", f.put("one", "a", f.one, "draining"))
	before := f.one.Requests()
	if served := f.ask("one", requests); served != requests || f.one.Requests() != before {
		t.Errorf("%d of %d served, %d by the backend whose drain is in force", served, requests, f.one.Requests()-before)
	}
	if s := f.stats(first); s.FullUpdates != 1 || s.DeltaUpdates != 2 {
		t.Errorf("the first relay sent %d whole lists and %d changes, want 1 and 2", s.FullUpdates, s.DeltaUpdates)
	}

	first.kill()
	until(t, "the other relay has the list", func() bool {
		u, err := f.calls.Resource(t.Context(), second.direct, "lists/one")
		return err == nil && len(u.Items) == 2
	})
	f.inForce(second.direct, "one", f.put("one", "a", f.one, "serving"))
	f.reaches("one", f.one)
	if s := f.stats(second); s.FullUpdates != 0 || s.DeltaUpdates != 1 || s.Sessions != 1 {
		t.Errorf("the second relay sent %d whole lists and %d changes in %d sessions, want 0, 1 and 1", s.FullUpdates, s.DeltaUpdates, s.Sessions)
	}

	f.reloadsKeepConnections(second)

	second.kill()
	line := f.sidecar.line(t, "silent=")
	if !strings.Contains(line, "distribution") {
		t.Errorf("no age is told: %s", line)
	}
	if served := f.ask("one", requests); served != requests {
		t.Errorf("without relays %d of %d served", served, requests)
	}
}

// inForceAfterStart starts the sidecar with one service, and has its first list in force.
func (f *fleet) inForceAfterStart() {
	f.t.Helper()
	v := f.put("one", "a", f.one, "serving")
	f.configure("one")
	f.sidecar = f.start("fernlanding", "-config", f.file)
	f.sidecar.line(f.t, "msg=ready") // or it has ended
	f.inForce(f.source, "one", v)
	if served := f.ask("one", 1); served != 1 {
		f.t.Fatal("the first request is not served")
	}
}

// reloadsKeepConnections has services come and go. A follower has two connections at most: its blocking read, and what
// can't wait for that to end.
func (f *fleet) reloadsKeepConnections(r relayed) {
	f.t.Helper()
	v := f.put("two", "a", f.two, "serving")
	for range 3 {
		f.reload("one", "two")
		f.inForce(r.direct, "two", v)
		if served := f.ask("two", 1); served != 1 {
			f.t.Error("a service that has come is not served")
		}
		f.reload("one")
		until(f.t, "nobody follows the list of the service that has gone", func() bool {
			s, err := f.calls.Status(f.t.Context(), r.direct, "lists/two")
			return err == nil && (len(s.Counts) == 0 || s.Counts[0].Proxies == 0)
		})
	}
	if n := r.gate.Accepted(); n > 2 {
		f.t.Errorf("%d connections", n)
	}
	if s := f.stats(r); s.Sessions != 1 {
		f.t.Errorf("%d sessions", s.Sessions)
	}
}
