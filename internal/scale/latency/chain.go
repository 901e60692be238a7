package latency

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"fernlanding/internal/harness/spawn"
)

const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
	probeTimeout      = time.Second
	logTailBytes      = 400 // end of a process's log in error messages

	backendsName = "backends" // name of the process of all backends
)

// chain is a series of sidecars in front of stand-in backends. Each sidecar is a process, and all
// backends share one process. The processes end when this process ends.
type chain struct {
	first    netip.AddrPort // address of the first sidecar
	backends []netip.AddrPort
	starter  *spawn.Starter
	dir      string
	children []*child
}

// child is one process of a chain.
type child struct {
	name    string
	command *exec.Cmd
	log     string
	exited  chan struct{} // closed when the process has been reaped
}

// startChain starts the processes of a case and returns when all of them are ready. The caller calls
// close to end the processes.
func startChain(ctx context.Context, program string, p *Plan, c *Case) (*chain, error) {
	addresses, err := reserve(c.Backends + c.Hops)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "latency")
	if err != nil {
		return nil, err
	}
	ch := &chain{
		first:    addresses[c.Backends],
		backends: addresses[:c.Backends],
		starter:  spawn.New(),
		dir:      dir,
	}
	if err := ch.start(ctx, program, p, addresses[c.Backends:]); err != nil {
		ch.close()
		return nil, err
	}
	return ch, nil
}

// start starts the backends and then the sidecars from the last to the first.
func (ch *chain) start(ctx context.Context, program string, p *Plan, listeners []netip.AddrPort) error {
	next := ch.backends
	for i := len(listeners) - 1; i >= 0; i-- {
		name := fmt.Sprintf("hop-%d", i+1)
		file := filepath.Join(ch.dir, name+".toml")
		text := sidecarConfig(name, listeners[i], next, p.Sidecar)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		if i == len(listeners)-1 {
			if err := ch.startBackends(ctx, program, file); err != nil {
				return err
			}
		}
		if err := ch.startProcess(name, program, "-config", file); err != nil {
			return err
		}
		if err := ch.waitReady(ctx, "http://"+listeners[i].String()+"/_health"); err != nil {
			return err
		}
		next = listeners[i : i+1]
	}
	return nil
}

// startBackends starts the stand-in backends in the configuration file of a sidecar.
func (ch *chain) startBackends(ctx context.Context, program, file string) error {
	if err := ch.startProcess(backendsName, program, "standin", file); err != nil {
		return err
	}
	for _, backend := range ch.backends {
		if err := ch.waitReady(ctx, "http://"+backend.String()+"/"); err != nil {
			return err
		}
	}
	return nil
}

// sidecarConfig returns the configuration file of a sidecar in front of the given backends. The
// backends are trusted: they send no data after their responses.
func sidecarConfig(name string, listener netip.AddrPort, backends []netip.AddrPort, s Sidecar) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = 2\nname = %q\n", name)
	fmt.Fprintf(&b, "[process]\ncores = %g\nmemory_mb = %g\nsockets = 4096\n", s.Cores, s.MemoryMB)
	fmt.Fprintf(&b, "[[listeners]]\nname = \"main\"\naddress = %q\n", listener)
	b.WriteString("[services.next]\nmembership = \"static\"\ntrusted = true\nendpoints = [\n")
	for i, address := range backends {
		fmt.Fprintf(&b, "  { name = \"backend-%d\", address = %q },\n", i+1, address)
	}
	b.WriteString("]\n[services.next.classes.call]\nrepeat = \"safe\"\n")
	fmt.Fprintf(&b, "objective = \"%dms\"\n", s.Objective.Milliseconds())
	fmt.Fprintf(&b, "deadline = \"%dms\"\n", s.Deadline.Milliseconds())
	b.WriteString("[[routes]]\nname = \"all\"\nprefix = \"/\"\nservice = \"next\"\nclass = \"call\"\n")
	return b.String()
}

// startProcess starts a process whose output is written to a file.
func (ch *chain) startProcess(name string, args ...string) error {
	p := &child{
		name:   name,
		log:    filepath.Join(ch.dir, name+".log"),
		exited: make(chan struct{}),
	}
	out, err := os.Create(p.log)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the child has its own descriptor
	p.command = exec.Command(args[0], args[1:]...)
	p.command.Stdout = out
	p.command.Stderr = out
	if err := ch.starter.Start(p.command); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	ch.children = append(ch.children, p)
	go func() {
		_ = p.command.Wait() // waitReady reports the exit with the log
		close(p.exited)
	}()
	return nil
}

// waitReady waits until the most recently started process answers a GET request with status 200.
func (ch *chain) waitReady(ctx context.Context, url string) error {
	p := ch.children[len(ch.children)-1]
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	poll := time.NewTicker(readyPollInterval)
	defer poll.Stop()
	for {
		if isReady(ctx, client, url) {
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s: exited before it was ready: %s", p.name, p.logTail())
		case <-ctx.Done():
			return fmt.Errorf("%s: not ready: %w: %s", p.name, ctx.Err(), p.logTail())
		case <-poll.C:
		}
	}
}

// isReady reports whether a GET request is answered with status 200.
func isReady(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the connection is not reused
	return response.StatusCode == http.StatusOK
}

// logTail returns the end of the output of a process.
func (p *child) logTail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(data[max(0, len(data)-logTailBytes):]))
}

// close kills the processes and returns when all have exited.
func (ch *chain) close() {
	for _, p := range ch.children {
		_ = p.command.Process.Kill() // fails if the process has exited
	}
	for _, p := range ch.children {
		<-p.exited
	}
	ch.starter.Close()
	_ = os.RemoveAll(ch.dir)
}

// reserve returns free addresses on a loopback IP address derived from the process ID. Outgoing
// connections come from 127.0.0.1 and use no ports of that IP address.
func reserve(n int) (addresses []netip.AddrPort, err error) {
	id := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(64 + id>>16&63), byte(id >> 8), byte(id)})
	for range n {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // kept open until all addresses are found
		address, err := netip.ParseAddrPort(l.Addr().String())
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
