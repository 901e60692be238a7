// Package harness starts many processes of the program with stand-ins of all that it meets, has every connection between them
// go through relays with faults, and writes down what happens. Package check judges that.
package harness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/launch"
	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/process"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
	"fernlanding/internal/sleep"
	"fernlanding/internal/standin"
)

// Options say how a run is carried out.
type Options struct {
	Sidecar []string // the program under test and its first arguments; "-config FILE" is added
	Worker  []string // the program that is an actor
	Env     []string // further environment of both
	Out     io.Writer
	Logs    bool   // lines of the sidecars go into the history
	Dir     string // for the sidecars' configurations; empty: a temporary one that is removed
}

const (
	startTimeout    = 60 * time.Second // all actors
	stopTimeout     = 10 * time.Second // all sidecars, after SIGTERM
	podCount        = 4
	deregisterDelay = 500 * time.Millisecond // a dead process's backends leave the list
	drainDuration   = time.Second            // from a backend's drain to its end
	maxMemoryShare  = 0.8                    // of the machine's free memory that a run may take

	measureDelay = 100 * time.Millisecond // a process's start, when its runtime stands
	skewStream   = 9                      // of the seed
)

// run is one run.
type run struct {
	*launch.Run
	spec              *scenario.Scenario
	opts              Options
	addrs             []link.Addr // of the sidecars
	sidecarPort       int         // where they listen
	sidecarRelayPort  int         // where clients reach them
	listRelayPorts    []int
	backendRelayPorts []int

	mu               sync.Mutex
	listAddrs        []string
	backendAddrs     map[string]string
	members          map[string]standin.Member
	backendIndex     map[string]int // of backends: their numbers
	sidecarNames     []string
	listNames        []string
	backendProcesses []string // processes of backends
	clientNames      []string
	backendNames     []string
	loadEnded        chan struct{} // one for each client process whose load has ended
}

// Run plays a scenario, and writes its history. It returns when none of its processes is left; at the context's end it
// breaks off.
func Run(ctx context.Context, sc *scenario.Scenario, opts Options) (err error) {
	begun, err := launch.Begin(opts.Out, opts.Dir, sc.Name, sc.Seed)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	defer func() { err = begun.End(err) }()
	r := &run{
		Run: begun, spec: sc, opts: opts, backendAddrs: map[string]string{}, members: map[string]standin.Member{},
		backendIndex: map[string]int{}, sidecarNames: sc.Names(scenario.OnSidecars), listNames: sc.Names(scenario.OnLists), clientNames: sc.Names(scenario.OnClients),
		backendNames: sc.Names(scenario.OnBackends), loadEnded: make(chan struct{}, len(sc.Names(scenario.OnClients))),
	}
	if err := r.openNetwork(); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := r.startStandIns(ctx); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := r.startSidecars(ctx); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := r.runSchedule(ctx); err != nil {
		return err
	}
	return r.stop()
}

// openNetwork finds a network of places and ports that nobody uses, and opens the relays.
func (r *run) openNetwork() error {
	return r.OpenLinks(1+len(r.listNames)+len(r.backendNames), (*relayWatcher)(r), func(network, port int) error {
		names := map[link.Addr]string{}
		r.addrs = nil
		for i, name := range r.sidecarNames {
			r.addrs = append(r.addrs, link.AddrOf(network, i))
			names[r.addrs[i]] = name
		}
		r.sidecarPort = port
		return r.openRelays(names, port+1)
	})
}

// openRelays opens the relays from a port on.
func (r *run) openRelays(names map[link.Addr]string, port int) error {
	r.sidecarRelayPort = port
	relays := []link.Relay{{Group: scenario.OnClients + "-" + scenario.OnSidecars, Route: func(at link.Addr) (link.Peers, string, bool) {
		name, ok := names[at]
		return link.Peers{From: scenario.OnClients, To: name}, net.JoinHostPort(at.String(), strconv.Itoa(r.sidecarPort)), ok
	}}}
	for i, list := range r.listNames {
		relays = append(relays, link.Relay{Group: scenario.OnSidecars + "-" + scenario.OnLists, Deliveries: true, Route: func(at link.Addr) (link.Peers, string, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			name, ok := names[at]
			return link.Peers{From: name, To: list}, r.listAddrs[i], ok
		}})
	}
	for _, backend := range r.backendNames {
		relays = append(relays, link.Relay{Group: scenario.OnSidecars + "-" + scenario.OnBackends, AcceptRate: r.spec.Backends.AcceptRate, Backlog: r.spec.Backends.Backlog, Route: func(at link.Addr) (link.Peers, string, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			name, ok := names[at]
			return link.Peers{From: name, To: backend}, r.backendAddrs[backend], ok
		}})
	}
	r.listAddrs = make([]string, len(r.listNames))
	for i := range relays {
		relays[i].Port = port + i
		if err := r.Links.Listen(relays[i]); err != nil {
			return err
		}
	}
	for i := range r.listNames {
		r.listRelayPorts = append(r.listRelayPorts[:i], port+1+i)
	}
	for i := range r.backendNames {
		r.backendRelayPorts = append(r.backendRelayPorts[:i], port+1+len(r.listNames)+i)
	}
	return nil
}

// relayWatcher writes what goes over the relays into the history.
type relayWatcher run

func (w *relayWatcher) Opened(e link.Peers) {
	(*run)(w).Record(history.Event{Kind: history.Opened, Who: e.From, To: e.To})
}

func (w *relayWatcher) Sent(e link.Peers, conn string, n int64, at time.Time) {
	if e.From != scenario.OnClients && !strings.HasPrefix(e.To, "list-") {
		(*run)(w).Record(history.Event{Kind: history.Sent, At: (*run)(w).Clock.At(at), Who: e.From, To: e.To, Conn: conn, N: n})
	}
}

func (w *relayWatcher) Delivered(e link.Peers, conn string, n int64) {
	(*run)(w).Record(history.Event{Kind: history.Delivered, Who: e.To, To: e.From, Conn: conn, Bytes: n})
}

// startStandIns starts list services, backends and clients.
func (r *run) startStandIns(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	b := r.spec.Backends
	for p := range b.Processes {
		r.backendProcesses = append(r.backendProcesses, fmt.Sprintf("backends-%d", p+1))
	}
	for i, name := range r.backendNames {
		r.backendIndex[name] = i
	}
	for p := range r.backendProcesses {
		if err := r.startBackendProcess(ctx, p, b.StartCold); err != nil {
			return err
		}
	}
	var all []standin.Member
	since := int64(0)
	if b.StartCold {
		since = time.Now().UnixMilli()
	}
	for i, name := range r.backendNames {
		all = append(all, standin.Member{SinceMs: since, Name: name, Address: ":" + strconv.Itoa(r.backendRelayPorts[i]), Zone: r.spec.Site(i), Group: i % podCount, Weight: 1, Status: "SERVING"})
	}
	r.updateMembers(all...)
	for i := range r.listNames {
		if err := r.startListService(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// startBackendProcess starts one process of backends, the pth; fresh ones are cold.
func (r *run) startBackendProcess(ctx context.Context, p int, fresh bool) error {
	b := r.spec.Backends
	spec := worker.Spec{Name: r.backendProcesses[p], Group: scenario.OnBackends, Cores: b.Cores, QueueLength: b.QueueLength, ServiceTime: b.ServiceTime, Warmup: b.Warmup, StartCapacity: b.StartCapacity, ColdMultiple: b.ColdMultiple, MaxConns: b.MaxConns, StartCold: fresh}
	for i, name := range r.backendNames {
		if i%len(r.backendProcesses) == p {
			spec.Backends, spec.Pods = append(spec.Backends, name), append(spec.Pods, i%podCount)
		}
	}
	hello, err := r.startWorker(ctx, spec)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range hello.Addresses {
		r.backendAddrs[name] = at
	}
	return nil
}

// startListService starts one list service, and tells it the members as they now are.
func (r *run) startListService(ctx context.Context, i int) error {
	l := r.spec.Lists
	places, skews := map[string]string{}, map[string]int64{}
	rnd := rand.New(rand.NewPCG(r.spec.Seed, skewStream))
	for n, name := range r.sidecarNames {
		places[r.addrs[n].String()] = name
		if skew := r.spec.Sidecars.ClockSkew.Milliseconds(); skew > 0 {
			skews[r.addrs[n].String()] = rnd.Int64N(2*skew+1) - skew
		}
	}
	hello, err := r.startWorker(ctx, worker.Spec{Name: r.listNames[i], Group: scenario.OnLists, SnapshotRate: l.SnapshotRate, SnapshotQueue: l.QueueLength, RetryAfter: l.RetryAfter, SidecarNames: places, ClockSkews: skews})
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listAddrs[i] = hello.Address
	var all []standin.Member
	for _, name := range r.backendNames {
		if m, ok := r.members[name]; ok {
			all = append(all, m)
		}
	}
	r.mu.Unlock()
	return r.Processes.SendCommand(r.listNames[i], worker.Command{Do: worker.DoMembers, Members: all})
}

func (r *run) startClients(ctx context.Context) error {
	c := r.spec.Clients
	for i, name := range r.clientNames {
		at := map[string]string{}
		var own []string
		for n, sidecar := range r.sidecarNames {
			mine := n%len(r.clientNames) == i
			if c.CrossSite && mine {
				own = append(own, sidecar)
			}
			if mine || c.CrossSite {
				at[sidecar] = net.JoinHostPort(r.addrs[n].String(), strconv.Itoa(r.sidecarRelayPort))
			}
		}
		if _, err := r.startWorker(ctx, worker.Spec{Name: name, Group: scenario.OnClients, Sidecars: at, LocalSidecars: own, RequestRate: c.Rate / float64(len(r.clientNames)), HealthInterval: c.HealthInterval, Seed: r.spec.Seed + uint64(i)}); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts an actor and returns its first line.
func (r *run) startWorker(ctx context.Context, spec worker.Spec) (worker.Hello, error) {
	actors := launch.WorkerStarter{Processes: r.Processes, Program: r.opts.Worker, Env: r.opts.Env, Clock: r.Clock, OnEvent: r.recordWorkerEvent}
	return actors.Start(ctx, spec)
}

// recordWorkerEvent takes an event of an actor.
func (r *run) recordWorkerEvent(e history.Event) {
	if r.Record(e); e.Kind == history.LoadEnded {
		r.loadEnded <- struct{}{}
	}
}

// startSidecars starts the processes under test.
func (r *run) startSidecars(ctx context.Context) error {
	for i := range r.sidecarNames {
		if err := os.WriteFile(r.configPath(i), []byte(r.configText(i)), 0o600); err != nil {
			return err
		}
	}
	if err := r.checkMemory(ctx); err != nil {
		return err
	}
	if err := r.startClients(ctx); err != nil {
		return err
	}
	for _, c := range r.clientNames {
		if err := r.Processes.SendCommand(c, worker.Command{Do: worker.DoLoad, On: r.spec.Clients.Rate > 0}); err != nil {
			return err
		}
	}
	each := r.spec.Sidecars.StartSpread / time.Duration(len(r.sidecarNames))
	for i := range r.sidecarNames {
		if err := r.startSidecar(i); err != nil {
			return err
		}
		if each > 0 && !sleep.For(ctx, each) {
			return ctx.Err()
		}
	}
	return nil
}

// checkMemory starts one sidecar, sees what it takes, and refuses a run that would not fit into the machine's memory.
func (r *run) checkMemory(ctx context.Context) error {
	if err := r.startSidecar(0); err != nil {
		return err
	}
	if !sleep.For(ctx, measureDelay) {
		return ctx.Err()
	}
	each := process.ResidentBytes(r.Processes.PID(r.sidecarNames[0]))
	r.Processes.Kill(r.sidecarNames[0])
	if err := os.RemoveAll(r.stateDir(0)); err != nil { // that life does not count
		return err
	}
	free := process.AvailableBytes()
	if need := each * int64(len(r.sidecarNames)); free > 0 && float64(need) > maxMemoryShare*float64(free) {
		return fmt.Errorf("sidecars.count: %d processes of %d MB take %d MB; %d MB at most expected on this machine", len(r.sidecarNames), each>>20, need>>20, int64(maxMemoryShare*float64(free))>>20)
	}
	return nil
}

func (r *run) startSidecar(i int) error {
	p := process.Spec{Name: r.sidecarNames[i], Args: append(slices.Clone(r.opts.Sidecar), "-config", r.configPath(i)), Env: r.opts.Env, MaxFiles: r.spec.Sidecars.Sockets}
	p.ReadStderr = func(out io.Reader) {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if r.opts.Logs {
				r.Record(history.Event{Kind: history.Log, Who: p.Name, Why: lines.Text()})
			}
		}
		_, _ = io.Copy(io.Discard, out)
	}
	return r.Processes.Start(p)
}

// stateDir is the one that outlives a sidecar, where it has one.
func (r *run) stateDir(i int) string { return filepath.Join(r.Dir, r.sidecarNames[i]) }

func (r *run) configPath(i int) string { return filepath.Join(r.Dir, r.sidecarNames[i]+".toml") }

// configText is a sidecar's configuration.
func (r *run) configText(i int) string {
	s := r.spec.Sidecars
	at := r.addrs[i].String()
	var t strings.Builder
	fmt.Fprintf(&t, "version = 2\nname = %q\n\n[process]\nmemory_mb = %g\nsockets = %d\n\n[[listeners]]\naddress = %q\n\n", r.sidecarNames[i], s.MemoryMB, s.Sockets, net.JoinHostPort(at, strconv.Itoa(r.sidecarPort)))
	if s.PersistState { // of the process table, which stands before the listeners
		return strings.Replace(t.String(), "[process]\n", fmt.Sprintf("[process]\nstate_dir = %q\n", r.stateDir(i)), 1) + r.serviceConfig(i)
	}
	return t.String() + r.serviceConfig(i)
}

// serviceConfig is the part of a sidecar's configuration that says whom it calls.
func (r *run) serviceConfig(i int) string {
	s, b := r.spec.Sidecars, r.spec.Backends
	at := r.addrs[i].String()
	var t strings.Builder
	fmt.Fprintf(&t, "[services.rating]\nmembership = \"catalog\"\ndiscovery = %q\ntrusted = true\n", net.JoinHostPort(at, strconv.Itoa(r.listRelayPorts[i%len(r.listRelayPorts)])))
	if s.KnowReplicaCount {
		fmt.Fprintf(&t, "siblings = %d\nordinal = %d\n", s.Count, i)
	}
	if len(s.Sites) > 1 {
		fmt.Fprintf(&t, "zones = [%s]\nzone = %q\n", quoteList(s.Sites), r.spec.Site(i))
	} else {
		fmt.Fprintf(&t, "zones = [%s]\nzone = %q\n", quoteList(s.Sites), s.Sites[0])
	}
	if b.Warmup > 0 {
		fmt.Fprintf(&t, "cold = %q\nstart_capacity = %g\ncold_multiple = %g\n", b.Warmup, b.StartCapacity, b.ColdMultiple)
	}
	if q := r.spec.Clients.Quota; q > 0 {
		fmt.Fprintf(&t, "[services.rating.tenants.%s]\nportion = 1\nquota = %g\n", worker.Tenant, q)
	}
	for _, c := range worker.Classes() {
		fmt.Fprintf(&t, "[services.rating.classes.%s]\nrepeat = %q\nobjective = %q\ndeadline = %q\n", c.Name, c.Idempotency, c.Objective, c.Deadline)
		if r.spec.Clients.PriorityWeights {
			fmt.Fprintf(&t, "worth = %g\n", c.PriorityWeight)
		}
		if c.Idempotency == "keyed" {
			fmt.Fprintf(&t, "key = \"Idempotency-Key\"\ndedup_scope = \"cell\"\ndedup_window = %q\n", worker.DedupWindow)
		}
	}
	for _, c := range worker.Classes() {
		fmt.Fprintf(&t, "\n[[routes]]\nname = %q\nprefix = %q\nservice = \"rating\"\nclass = %q\n", c.Name, c.Path, c.Name)
	}
	return t.String()
}

func quoteList(words []string) string {
	var out []string
	for _, w := range words {
		out = append(out, strconv.Quote(w))
	}
	return strings.Join(out, ", ")
}

// stop has the load end and its last answers come, and ends the sidecars in order.
func (r *run) stop() error {
	for _, c := range r.clientNames {
		_ = r.Processes.SendCommand(c, worker.Command{Do: worker.DoLoad})
	}
	longest := time.Duration(0)
	for _, c := range worker.Classes() {
		longest = max(longest, c.Deadline)
	}
	late := time.NewTimer(longest + time.Second)
	defer late.Stop()
	for range r.clientNames {
		select {
		case <-r.loadEnded:
		case <-late.C:
		}
	}
	if err := r.Processes.Terminate(r.sidecarNames, stopTimeout); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}
