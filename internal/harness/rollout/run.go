// Package rollout plays distribution on the rig: a source, two levels of relays, followers and a publisher in processes of
// their own, with faults on the links between them, and writes down what happens. Package check judges that.
package rollout

import (
	"context"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/launch"
	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/process"
	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/harness/worker"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options say how a run is carried out.
type Options struct {
	Relay []string // the program under test and its first arguments; "source ..." or "relay ..." is added
	Actor []string // the program that is an actor
	Env   []string // further environment of both
	Out   io.Writer
	Dir   string    // for the source's state; empty: a temporary one that is removed
	Logs  io.Writer // of the programs under test; nil: discarded
}

const (
	startWithin = 30 * time.Second // all processes, until every follower has every resource that it follows
	serverLinks = 3                // ports of links beyond one for each server
	lookEvery   = 20 * time.Millisecond
)

// run is one run.
type run struct {
	*launch.Run
	sc     *plan.Scenario
	opts   Options
	client *http.Client
	places map[string]link.Place // of all that open connections or listen, by name
	port   int                   // where the source and relays listen
	relay  map[entrance]int      // ports of the links to them
	zero   int64                 // when the faults began
	has    *firstUpdates
	wrote  chan struct{} // the publisher has written something
}

// Run plays a scenario and writes its history. It returns when none of its processes is left; at the context's end it
// breaks off.
func Run(ctx context.Context, sc *plan.Scenario, opts Options) (err error) {
	begun, err := launch.Begin(opts.Out, opts.Dir, sc.Name, sc.Seed)
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	r := &run{
		Run:    begun,
		sc:     sc,
		opts:   opts,
		client: &http.Client{Timeout: askWithin, Transport: &http.Transport{}},
		relay:  map[entrance]int{},
		has:    newFirstUpdates(sc),
		wrote:  make(chan struct{}, 1),
	}
	defer func() {
		err = begun.End(err)
		r.client.CloseIdleConnections()
	}()
	if err := r.lay(); err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	if err := r.start(ctx); err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	return r.play(ctx)
}

// servers are the source and all relays.
func (r *run) servers() []string {
	return slices.Concat(r.sc.Names(plan.OnSource), r.sc.Names(plan.OnRegions), r.sc.Names(plan.OnZones))
}

// lay finds places and ports that nobody uses, and opens the links.
func (r *run) lay() error {
	servers := r.servers()
	return r.OpenLinks(len(servers)+serverLinks, unwatched{}, func(network, port int) error {
		r.port = port
		r.places = map[string]link.Place{}
		for i, name := range slices.Concat(servers, []string{plan.PublisherName}, r.sc.FollowerNames()) {
			r.places[name] = link.PlaceOf(network, i)
		}
		return r.links()
	})
}

// links opens the links to the source and to each relay.
func (r *run) links() error {
	names := map[link.Place]string{}
	for name, place := range r.places {
		names[place] = name
	}
	port := r.port
	for _, server := range r.servers() {
		to := func(at link.Place) (link.Ends, string, bool) {
			name, known := names[at]
			return link.Ends{From: name, To: server}, r.address(server), known
		}
		for _, group := range r.sc.LinksTo(server) {
			port++
			r.relay[entrance{group, server}] = port
			if err := r.Links.Listen(link.Relay{Group: group, Port: port, To: to}); err != nil {
				return err
			}
		}
	}
	return nil
}

// entrance is where a link leads to a server.
type entrance struct{ link, server string }

// unwatched is a link.Watcher that tells nothing: what passes is told by those at its ends.
type unwatched struct{}

// Opened implements link.Watcher.
func (unwatched) Opened(link.Ends) {}

// Sent implements link.Watcher.
func (unwatched) Sent(link.Ends, string, int64, time.Time) {}

// Delivered implements link.Watcher.
func (unwatched) Delivered(link.Ends, string, int64) {}

// address is where the source or a relay itself listens.
func (r *run) address(server string) string {
	return net.JoinHostPort(r.places[server].String(), strconv.Itoa(r.port))
}

// linkTo is where a caller reaches a server over its link.
func (r *run) linkTo(caller, server string) string {
	return net.JoinHostPort(r.places[caller].String(), strconv.Itoa(r.relay[entrance{r.sc.LinkBetween(caller, server), server}]))
}

// start starts all processes, writes all resources once, and waits until every follower has those that it follows.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for _, name := range r.servers() {
		if err := r.startServer(name); err != nil {
			return err
		}
		if err := r.healthy(ctx, name); err != nil {
			return err
		}
	}
	if err := r.startPublisher(ctx); err != nil {
		return err
	}
	for _, name := range r.sc.Names(plan.OnFollowers) {
		if err := r.startFollowers(ctx, name); err != nil {
			return err
		}
	}
	if err := r.Processes.Say(plan.PublisherName, worker.Command{Do: worker.DoFirst}); err != nil {
		return err
	}
	select {
	case <-r.has.all:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%d times a follower does not get a resource that it follows: %w", r.has.lacking(), ctx.Err())
	}
}

// startServer starts the source or a relay.
func (r *run) startServer(name string) error {
	args := []string{"relay", "-listen", r.address(name), "-name", name, "-hold", r.sc.Relays.Hold.String()}
	var upstream []string
	switch {
	case name == plan.Source:
		args = []string{"source", "-listen", r.address(name), "-state", filepath.Join(r.Dir, "state")}
	case slices.Contains(r.sc.Names(plan.OnRegions), name):
		upstream = r.sc.Names(plan.OnSource)
	default:
		upstream = r.sc.Names(plan.OnRegions)
	}
	if name != plan.Source {
		var addresses []string
		for _, server := range upstream {
			addresses = append(addresses, r.linkTo(name, server))
		}
		args = append(args, "-upstream", strings.Join(addresses, ","))
	}
	return r.Processes.Start(process.Spec{Name: name, Args: append(slices.Clone(r.opts.Relay), args...), Env: r.opts.Env, ReadErr: r.log})
}

// log hands on what a program under test logs.
func (r *run) log(from io.Reader) {
	to := r.opts.Logs
	if to == nil {
		to = io.Discard
	}
	_, _ = io.Copy(to, from)
	_, _ = io.Copy(io.Discard, from)
}

// healthy waits until a server answers.
func (r *run) healthy(ctx context.Context, name string) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		response, err := r.client.Get("http://" + r.address(name) + "/_health")
		if err == nil {
			response.Body.Close()
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("%s does not answer: %w", name, err)
		}
	}
}

func (r *run) startPublisher(ctx context.Context) error {
	return r.actor(ctx, worker.Spec{
		Name:   plan.PublisherName,
		Group:  plan.OnPublisher,
		Source: r.linkTo(plan.PublisherName, plan.Source),
		First:  r.sc.InitialPuts(),
		Puts:   r.sc.Puts(),
		Began:  r.zero,
	})
}

// startFollowers starts one process of followers.
func (r *run) startFollowers(ctx context.Context, name string) error {
	spec := worker.Spec{Name: name, Group: plan.OnFollowers, Hold: r.sc.Followers.Hold, Seed: r.sc.Seed}
	for _, follower := range r.sc.FollowerNames() {
		if r.sc.ProcessOf(follower) != name {
			continue
		}
		one := worker.FollowerSpec{Name: follower, Names: r.sc.RelaysOf(follower), Follows: r.sc.ResourcesOf(follower)}
		for _, relay := range one.Names {
			one.Relays = append(one.Relays, r.linkTo(follower, relay))
		}
		spec.Followers = append(spec.Followers, one)
	}
	return r.actor(ctx, spec)
}

// actor starts an actor, whose events go into the history.
func (r *run) actor(ctx context.Context, spec worker.Spec) error {
	actors := launch.Actors{Processes: r.Processes, Program: r.opts.Actor, Env: r.opts.Env, Clock: r.Clock, Heard: r.heard}
	_, err := actors.Start(ctx, spec)
	return err
}

// heard takes an event of an actor.
func (r *run) heard(e history.Event) {
	r.Tell(e)
	switch {
	case e.Kind == history.InForce:
		r.has.note(e.Who, e.Resource)
	case e.Kind == history.Put && e.Status == http.StatusOK:
		select {
		case r.wrote <- struct{}{}:
		default:
		}
	}
}

// firstUpdates waits until every follower has got every resource that it follows.
type firstUpdates struct {
	all chan struct{} // closed then

	mu   sync.Mutex
	want map[[2]string]bool // followers and resources
}

func newFirstUpdates(sc *plan.Scenario) *firstUpdates {
	f := &firstUpdates{all: make(chan struct{}), want: map[[2]string]bool{}}
	for _, follower := range sc.FollowerNames() {
		for _, resource := range sc.ResourcesOf(follower) {
			f.want[[2]string{follower, resource}] = true
		}
	}
	return f
}

func (f *firstUpdates) note(follower, resource string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := [2]string{follower, resource}
	if !f.want[key] {
		return
	}
	if delete(f.want, key); len(f.want) == 0 {
		close(f.all)
	}
}

func (f *firstUpdates) lacking() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.want)
}
