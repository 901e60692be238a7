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
	Actor   []string // the program that is an actor
	Env     []string // further environment of both
	Out     io.Writer
	Logs    bool   // lines of the sidecars go into the history
	Dir     string // for the sidecars' configurations; empty: a temporary one that is removed
}

const (
	startWithin = 60 * time.Second // all actors
	endWithin   = 10 * time.Second // all sidecars, after SIGTERM
	pods        = 4
	noticeAfter = 500 * time.Millisecond // a dead process's backends leave the list
	drainFor    = time.Second            // from a backend's drain to its end
	freePart    = 0.8                    // of the machine's free memory that a run may take

	measureAfter = 100 * time.Millisecond // a process's start, when its runtime stands
	skewStream   = 9                      // of the seed
)

// run is one run.
type run struct {
	*launch.Run
	sc       *scenario.Scenario
	opts     Options
	places   []link.Place // of the sidecars
	port     int          // where they listen
	relay    int          // where clients reach them
	listPort []int
	backPort []int

	mu       sync.Mutex
	listAt   []string
	backAt   map[string]string
	members  map[string]standin.Member
	names    map[string]int // of backends: their numbers
	sidecars []string
	lists    []string
	backs    []string // processes of backends
	clients  []string
	workers  []string
	quiet    chan struct{} // one for each client process whose load has ended
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
		Run: begun, sc: sc, opts: opts, backAt: map[string]string{}, members: map[string]standin.Member{},
		names: map[string]int{}, sidecars: sc.Names(scenario.OnSidecars), lists: sc.Names(scenario.OnLists), clients: sc.Names(scenario.OnClients),
		workers: sc.Names(scenario.OnBackends), quiet: make(chan struct{}, len(sc.Names(scenario.OnClients))),
	}
	if err := r.lay(); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := r.startActors(ctx); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := r.startSidecars(ctx); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := r.play(ctx); err != nil {
		return err
	}
	return r.finish()
}

// lay finds a network of places and ports that nobody uses, and opens the relays.
func (r *run) lay() error {
	return r.OpenLinks(1+len(r.lists)+len(r.workers), (*watcher)(r), func(network, port int) error {
		names := map[link.Place]string{}
		r.places = nil
		for i, name := range r.sidecars {
			r.places = append(r.places, link.PlaceOf(network, i))
			names[r.places[i]] = name
		}
		r.port = port
		return r.relays(names, port+1)
	})
}

// relays opens the relays from a port on.
func (r *run) relays(names map[link.Place]string, port int) error {
	r.relay = port
	relays := []link.Relay{{Group: scenario.OnClients + "-" + scenario.OnSidecars, To: func(at link.Place) (link.Ends, string, bool) {
		name, ok := names[at]
		return link.Ends{From: scenario.OnClients, To: name}, net.JoinHostPort(at.String(), strconv.Itoa(r.port)), ok
	}}}
	for i, list := range r.lists {
		relays = append(relays, link.Relay{Group: scenario.OnSidecars + "-" + scenario.OnLists, Deliveries: true, To: func(at link.Place) (link.Ends, string, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			name, ok := names[at]
			return link.Ends{From: name, To: list}, r.listAt[i], ok
		}})
	}
	for _, backend := range r.workers {
		relays = append(relays, link.Relay{Group: scenario.OnSidecars + "-" + scenario.OnBackends, Accepts: r.sc.Backends.Accepts, Backlog: r.sc.Backends.Backlog, To: func(at link.Place) (link.Ends, string, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			name, ok := names[at]
			return link.Ends{From: name, To: backend}, r.backAt[backend], ok
		}})
	}
	r.listAt = make([]string, len(r.lists))
	for i := range relays {
		relays[i].Port = port + i
		if err := r.Links.Listen(relays[i]); err != nil {
			return err
		}
	}
	for i := range r.lists {
		r.listPort = append(r.listPort[:i], port+1+i)
	}
	for i := range r.workers {
		r.backPort = append(r.backPort[:i], port+1+len(r.lists)+i)
	}
	return nil
}

// watcher writes what goes over the relays into the history.
type watcher run

func (w *watcher) Opened(e link.Ends) {
	(*run)(w).Tell(history.Event{Kind: history.Opened, Who: e.From, To: e.To})
}

func (w *watcher) Sent(e link.Ends, conn string, n int64, at time.Time) {
	if e.From != scenario.OnClients && !strings.HasPrefix(e.To, "list-") {
		(*run)(w).Tell(history.Event{Kind: history.Sent, At: (*run)(w).Clock.At(at), Who: e.From, To: e.To, Conn: conn, N: n})
	}
}

func (w *watcher) Delivered(e link.Ends, conn string, n int64) {
	(*run)(w).Tell(history.Event{Kind: history.Delivered, Who: e.To, To: e.From, Conn: conn, Bytes: n})
}

// startActors starts list services, backends and clients.
func (r *run) startActors(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	b := r.sc.Backends
	for p := range b.Processes {
		r.backs = append(r.backs, fmt.Sprintf("backends-%d", p+1))
	}
	for i, name := range r.workers {
		r.names[name] = i
	}
	for p := range r.backs {
		if err := r.startBackends(ctx, p, b.Fresh); err != nil {
			return err
		}
	}
	var all []standin.Member
	since := int64(0)
	if b.Fresh {
		since = time.Now().UnixMilli()
	}
	for i, name := range r.workers {
		all = append(all, standin.Member{SinceMs: since, Name: name, Address: ":" + strconv.Itoa(r.backPort[i]), Zone: r.sc.Site(i), Group: i % pods, Weight: 1, Status: "SERVING"})
	}
	r.change(all...)
	for i := range r.lists {
		if err := r.startList(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// startBackends starts one process of backends, the pth; fresh ones are cold.
func (r *run) startBackends(ctx context.Context, p int, fresh bool) error {
	b := r.sc.Backends
	spec := worker.Spec{Name: r.backs[p], Group: scenario.OnBackends, Cores: b.Cores, Waiting: b.Waiting, Work: b.Work, Cold: b.Cold, Part: b.Part, Bears: b.Bears, Conns: b.Conns, Fresh: fresh}
	for i, name := range r.workers {
		if i%len(r.backs) == p {
			spec.Backends, spec.Pods = append(spec.Backends, name), append(spec.Pods, i%pods)
		}
	}
	hello, err := r.actor(ctx, spec)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range hello.Addresses {
		r.backAt[name] = at
	}
	return nil
}

// startList starts one list service, and tells it the members as they now are.
func (r *run) startList(ctx context.Context, i int) error {
	l := r.sc.Lists
	places, skews := map[string]string{}, map[string]int64{}
	rnd := rand.New(rand.NewPCG(r.sc.Seed, skewStream))
	for n, name := range r.sidecars {
		places[r.places[n].String()] = name
		if skew := r.sc.Sidecars.Skew.Milliseconds(); skew > 0 {
			skews[r.places[n].String()] = rnd.Int64N(2*skew+1) - skew
		}
	}
	hello, err := r.actor(ctx, worker.Spec{Name: r.lists[i], Group: scenario.OnLists, Rate: l.Rate, Queue: l.Queue, RetryAfter: l.RetryAfter, Places: places, Skews: skews})
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listAt[i] = hello.Address
	var all []standin.Member
	for _, name := range r.workers {
		if m, ok := r.members[name]; ok {
			all = append(all, m)
		}
	}
	r.mu.Unlock()
	return r.Processes.Say(r.lists[i], worker.Command{Do: worker.DoMembers, Members: all})
}

func (r *run) startClients(ctx context.Context) error {
	c := r.sc.Clients
	for i, name := range r.clients {
		at := map[string]string{}
		var own []string
		for n, sidecar := range r.sidecars {
			mine := n%len(r.clients) == i
			if c.Roam && mine {
				own = append(own, sidecar)
			}
			if mine || c.Roam {
				at[sidecar] = net.JoinHostPort(r.places[n].String(), strconv.Itoa(r.relay))
			}
		}
		if _, err := r.actor(ctx, worker.Spec{Name: name, Group: scenario.OnClients, Sidecars: at, Own: own, Load: c.Rate / float64(len(r.clients)), Poll: c.Poll, Seed: r.sc.Seed + uint64(i)}); err != nil {
			return err
		}
	}
	return nil
}

// actor starts an actor and returns its first line.
func (r *run) actor(ctx context.Context, spec worker.Spec) (worker.Hello, error) {
	actors := launch.Actors{Processes: r.Processes, Program: r.opts.Actor, Env: r.opts.Env, Clock: r.Clock, Heard: r.heard}
	return actors.Start(ctx, spec)
}

// heard takes an event of an actor.
func (r *run) heard(e history.Event) {
	if r.Tell(e); e.Kind == history.Quiet {
		r.quiet <- struct{}{}
	}
}

// startSidecars starts the processes under test.
func (r *run) startSidecars(ctx context.Context) error {
	for i := range r.sidecars {
		if err := os.WriteFile(r.config(i), []byte(r.file(i)), 0o600); err != nil {
			return err
		}
	}
	if err := r.fits(ctx); err != nil {
		return err
	}
	if err := r.startClients(ctx); err != nil {
		return err
	}
	for _, c := range r.clients {
		if err := r.Processes.Say(c, worker.Command{Do: worker.DoLoad, On: r.sc.Clients.Rate > 0}); err != nil {
			return err
		}
	}
	each := r.sc.Sidecars.Start / time.Duration(len(r.sidecars))
	for i := range r.sidecars {
		if err := r.startSidecar(i); err != nil {
			return err
		}
		if each > 0 && !sleep.For(ctx, each) {
			return ctx.Err()
		}
	}
	return nil
}

// fits starts one sidecar, sees what it takes, and refuses a run that would not fit into the machine's memory.
func (r *run) fits(ctx context.Context) error {
	if err := r.startSidecar(0); err != nil {
		return err
	}
	if !sleep.For(ctx, measureAfter) {
		return ctx.Err()
	}
	each := process.Resident(r.Processes.PID(r.sidecars[0]))
	r.Processes.Kill(r.sidecars[0])
	if err := os.RemoveAll(r.folder(0)); err != nil { // that life does not count
		return err
	}
	free := process.Available()
	if need := each * int64(len(r.sidecars)); free > 0 && float64(need) > freePart*float64(free) {
		return fmt.Errorf("sidecars.count: %d processes of %d MB take %d MB; %d MB at most expected on this machine", len(r.sidecars), each>>20, need>>20, int64(freePart*float64(free))>>20)
	}
	return nil
}

func (r *run) startSidecar(i int) error {
	p := process.Spec{Name: r.sidecars[i], Args: append(slices.Clone(r.opts.Sidecar), "-config", r.config(i)), Env: r.opts.Env, Sockets: r.sc.Sidecars.Sockets}
	p.ReadErr = func(out io.Reader) {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if r.opts.Logs {
				r.Tell(history.Event{Kind: history.Log, Who: p.Name, Why: lines.Text()})
			}
		}
		_, _ = io.Copy(io.Discard, out)
	}
	return r.Processes.Start(p)
}

// folder is the one that outlives a sidecar, where it has one.
func (r *run) folder(i int) string { return filepath.Join(r.Dir, r.sidecars[i]) }

func (r *run) config(i int) string { return filepath.Join(r.Dir, r.sidecars[i]+".toml") }

// file is a sidecar's configuration.
func (r *run) file(i int) string {
	s := r.sc.Sidecars
	at := r.places[i].String()
	var t strings.Builder
	fmt.Fprintf(&t, "version = 2\nname = %q\n\n[process]\nmemory_mb = %g\nsockets = %d\n\n[[listeners]]\naddress = %q\n\n", r.sidecars[i], s.MemoryMB, s.Sockets, net.JoinHostPort(at, strconv.Itoa(r.port)))
	if s.State { // of the process table, which stands before the listeners
		return strings.Replace(t.String(), "[process]\n", fmt.Sprintf("[process]\nstate_dir = %q\n", r.folder(i)), 1) + r.service(i)
	}
	return t.String() + r.service(i)
}

// service is the part of a sidecar's configuration that says whom it calls.
func (r *run) service(i int) string {
	s, b := r.sc.Sidecars, r.sc.Backends
	at := r.places[i].String()
	var t strings.Builder
	fmt.Fprintf(&t, "[services.rating]\nmembership = \"catalog\"\ndiscovery = %q\ntrusted = true\n", net.JoinHostPort(at, strconv.Itoa(r.listPort[i%len(r.listPort)])))
	if s.Told {
		fmt.Fprintf(&t, "siblings = %d\nordinal = %d\n", s.Count, i)
	}
	if len(s.Sites) > 1 {
		fmt.Fprintf(&t, "zones = [%s]\nzone = %q\n", quoted(s.Sites), r.sc.Site(i))
	} else {
		fmt.Fprintf(&t, "zones = [%s]\nzone = %q\n", quoted(s.Sites), s.Sites[0])
	}
	if b.Cold > 0 {
		fmt.Fprintf(&t, "cold = %q\nstart_capacity = %g\ncold_multiple = %g\n", b.Cold, b.Part, b.Bears)
	}
	if q := r.sc.Clients.Quota; q > 0 {
		fmt.Fprintf(&t, "[services.rating.tenants.%s]\nportion = 1\nquota = %g\n", worker.Tenant, q)
	}
	for _, c := range worker.Classes() {
		fmt.Fprintf(&t, "[services.rating.classes.%s]\nrepeat = %q\nobjective = %q\ndeadline = %q\n", c.Name, c.Repeat, c.Objective, c.Deadline)
		if r.sc.Clients.Worth {
			fmt.Fprintf(&t, "worth = %g\n", c.Worth)
		}
		if c.Repeat == "keyed" {
			fmt.Fprintf(&t, "key = \"Idempotency-Key\"\ndedup_scope = \"cell\"\ndedup_window = %q\n", worker.Window)
		}
	}
	for _, c := range worker.Classes() {
		fmt.Fprintf(&t, "\n[[routes]]\nname = %q\nprefix = %q\nservice = \"rating\"\nclass = %q\n", c.Name, c.Path, c.Name)
	}
	return t.String()
}

func quoted(words []string) string {
	var out []string
	for _, w := range words {
		out = append(out, strconv.Quote(w))
	}
	return strings.Join(out, ", ")
}

// finish has the load end and its last answers come, and ends the sidecars in order.
func (r *run) finish() error {
	for _, c := range r.clients {
		_ = r.Processes.Say(c, worker.Command{Do: worker.DoLoad})
	}
	longest := time.Duration(0)
	for _, c := range worker.Classes() {
		longest = max(longest, c.Deadline)
	}
	late := time.NewTimer(longest + time.Second)
	defer late.Stop()
	for range r.clients {
		select {
		case <-r.quiet:
		case <-late.C:
		}
	}
	if err := r.Processes.Terminate(r.sidecars, endWithin); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}
