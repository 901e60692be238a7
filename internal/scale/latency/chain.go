package latency

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/rig/spawn"
)

const (
	readyWithin = 10 * time.Second
	readyEvery  = 10 * time.Millisecond
	askPatience = time.Second
	tailOfLog   = 400 // bytes of a process's log that an error tells

	ticksPerSecond = 100 // of /proc/PID/stat (USER_HZ)
	fieldsBefore   = 11  // behind the command's name, up to the user's time
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
			if err := ch.run("backends", program, "standin", file); err != nil {
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
	b.WriteString("]\n[services.next.classes.call]\nrepeat = \"safe\"\nobjective = \"300ms\"\ndeadline = \"2s\"\n" +
		"[[routes]]\nname = \"all\"\nprefix = \"/\"\nservice = \"next\"\nclass = \"call\"\n")
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

// processorTime is what the sidecars have used so far, together. It is exact to a hundredth of a second.
func (ch *chain) processorTime() (time.Duration, error) {
	var ticks int64
	for _, x := range ch.all {
		if x.name == "backends" {
			continue
		}
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", x.command.Process.Pid))
		if err != nil {
			return 0, err
		}
		n, err := ticksOf(string(data))
		if err != nil {
			return 0, fmt.Errorf("%s: %w", x.name, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

var errNoTimes = errors.New("no processor times in its stat")

// ticksOf is the user's and the system's time in a text of /proc/PID/stat. A command's name may hold blanks and brackets.
func ticksOf(stat string) (int64, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) < fieldsBefore+2 {
		return 0, errNoTimes
	}
	user, err := strconv.ParseInt(fields[fieldsBefore], 10, 64)
	if err != nil {
		return 0, errNoTimes
	}
	system, err := strconv.ParseInt(fields[fieldsBefore+1], 10, 64)
	if err != nil {
		return 0, errNoTimes
	}
	return user + system, nil
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
