package latency

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"fernlanding/internal/harness/spawn"
)

const (
	readyWithin = 10 * time.Second
	readyEvery  = 10 * time.Millisecond
	askPatience = time.Second
	tailOfLog   = 400 // bytes of a process's log that an error tells

	backendsName = "backends" // of the process that holds them
)

// chain is sidecars in a row before stand-in backends: processes of their own, which end with this one.
type chain struct {
	first    netip.AddrPort // of the first sidecar
	backends []netip.AddrPort
	starter  *spawn.Starter
	dir      string
	all      []*child
}

// child is one process of a chain.
type child struct {
	name    string
	command *exec.Cmd
	log     string
	ended   chan struct{} // closed when it has been reaped
}

// startChain starts the processes of a case and returns when all are ready. Its end method ends them.
func startChain(ctx context.Context, program string, p *Plan, c *Case) (*chain, error) {
	addresses, err := reserve(c.Backends + c.Hops)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "latency")
	if err != nil {
		return nil, err
	}
	ch := &chain{first: addresses[c.Backends], backends: addresses[:c.Backends], starter: spawn.New(), dir: dir}
	if err := ch.start(ctx, program, p, addresses[c.Backends:]); err != nil {
		ch.end()
		return nil, err
	}
	return ch, nil
}

// start starts the backends, and then the sidecars from the last to the first.
func (ch *chain) start(ctx context.Context, program string, p *Plan, listeners []netip.AddrPort) error {
	next := ch.backends
	for i := len(listeners) - 1; i >= 0; i-- {
		name := fmt.Sprintf("hop-%d", i+1)
		file := filepath.Join(ch.dir, name+".toml")
		if err := os.WriteFile(file, []byte(configuration(name, listeners[i], next, p.Sidecar)), 0o600); err != nil {
			return err
		}
		if i == len(listeners)-1 {
			if err := ch.run(backendsName, program, "standin", file); err != nil {
				return err
			}
			for _, b := range next {
				if err := ch.ready(ctx, "http://"+b.String()+"/"); err != nil {
					return err
				}
			}
		}
		if err := ch.run(name, program, "-config", file); err != nil {
			return err
		}
		if err := ch.ready(ctx, "http://"+listeners[i].String()+"/_health"); err != nil {
			return err
		}
		next = listeners[i : i+1]
	}
	return nil
}

// configuration is the file of a sidecar before backends that send nothing behind their answers.
func configuration(name string, listener netip.AddrPort, backends []netip.AddrPort, s Sidecar) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = 2\nname = %q\n[process]\ncores = %g\nmemory_mb = %g\nsockets = 4096\n", name, s.Cores, s.MemoryMB)
	fmt.Fprintf(&b, "[[listeners]]\nname = \"main\"\naddress = %q\n", listener)
	b.WriteString("[services.next]\nmembership = \"static\"\ntrusted = true\nendpoints = [\n")
	for i, address := range backends {
		fmt.Fprintf(&b, "  { name = \"backend-%d\", address = %q },\n", i+1, address)
	}
	b.WriteString("]\n[services.next.classes.call]\nrepeat = \"safe\"\n")
	fmt.Fprintf(&b, "objective = \"%dms\"\ndeadline = \"%dms\"\n", s.Objective.Milliseconds(), s.Deadline.Milliseconds())
	b.WriteString("[[routes]]\nname = \"all\"\nprefix = \"/\"\nservice = \"next\"\nclass = \"call\"\n")
	return b.String()
}

// run starts a process whose output goes to a file.
func (ch *chain) run(name string, args ...string) error {
	x := &child{name: name, log: filepath.Join(ch.dir, name+".log"), ended: make(chan struct{})}
	out, err := os.Create(x.log)
	if err != nil {
		return err
	}
	defer out.Close()
	x.command = exec.Command(args[0], args[1:]...)
	x.command.Stdout, x.command.Stderr = out, out
	if err := ch.starter.Start(x.command); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	ch.all = append(ch.all, x)
	go func() {
		_ = x.command.Wait() // whoever waits for its readiness sees that it has ended
		close(x.ended)
	}()
	return nil
}

// ready waits until the process that was started last answers a GET with 200.
func (ch *chain) ready(ctx context.Context, url string) error {
	x := ch.all[len(ch.all)-1]
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	client := &http.Client{Timeout: askPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	again := time.NewTicker(readyEvery)
	defer again.Stop()
	for {
		if answersGood(ctx, client, url) {
			return nil
		}
		select {
		case <-x.ended:
			return fmt.Errorf("%s has ended: %s", x.name, x.tail())
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w: %s", x.name, ctx.Err(), x.tail())
		case <-again.C:
		}
	}
}

func answersGood(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// tail is the end of what a process has written.
func (x *child) tail() string {
	data, err := os.ReadFile(x.log)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(data[max(0, len(data)-tailOfLog):]))
}

// usage is what threads have had of the machine's cores.
type usage struct {
	running time.Duration // on a core
	waiting time.Duration // runnable, and no core was free for them
}

func (u usage) plus(o usage) usage  { return usage{u.running + o.running, u.waiting + o.waiting} }
func (u usage) minus(o usage) usage { return usage{u.running - o.running, u.waiting - o.waiting} }

// sidecarUsage is that of all threads of all sidecars so far.
func (ch *chain) sidecarUsage() (sum usage, err error) {
	for _, x := range ch.all {
		if x.name == backendsName {
			continue
		}
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", x.command.Process.Pid))
		if err != nil {
			return sum, err
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
				continue // the thread has ended
			}
			if err != nil {
				return sum, err
			}
			u, err := usageOf(string(data))
			if err != nil {
				return sum, fmt.Errorf("%s: %w", file, err)
			}
			sum = sum.plus(u)
		}
	}
	return sum, nil
}

// usageOf reads a text of /proc/PID/task/TID/schedstat: nanoseconds on a core, nanoseconds of waiting for one, and slices.
func usageOf(stat string) (u usage, err error) {
	var slices int64
	if _, err := fmt.Sscan(stat, &u.running, &u.waiting, &slices); err != nil {
		return usage{}, fmt.Errorf("%.60q found, three whole numbers expected", stat)
	}
	return u, nil
}

// end kills the processes and returns when none is left.
func (ch *chain) end() {
	for _, x := range ch.all {
		_ = x.command.Process.Kill() // it may have ended
	}
	for _, x := range ch.all {
		<-x.ended
	}
	ch.starter.Close()
	_ = os.RemoveAll(ch.dir)
}

// reserve returns free addresses on a loopback host that other programs hardly use: connections come from 127.0.0.1 and take no
// ports there.
func reserve(n int) (addresses []netip.AddrPort, err error) {
	id := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(64 + id>>16&63), byte(id >> 8), byte(id)})
	for range n {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return nil, err
		}
		defer l.Close() // held until all have one
		addresses = append(addresses, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses, nil
}
