// Package worker is the other processes of the rig: stand-ins of list services, backends, clients, publishers and followers of
// resources, many in a process. An
// actor is told what it is by the first line of its standard input, and then one command a line; it tells what happens, one
// event a line, on its standard output. It ends when its input does, so that none outlives the rig.
package worker

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/standin"
)

// Spec is what an actor is.
type Spec struct {
	Name      string `json:"name"`
	ClockZero int64  `json:"zero"` // of the run's clock
	Group     string `json:"group"`

	// Of list services.
	SnapshotRate  float64           `json:"rate,omitempty"`
	SnapshotQueue int               `json:"queue,omitempty"`
	RetryAfter    time.Duration     `json:"retry_after,omitempty"`
	SidecarNames  map[string]string `json:"places,omitempty"` // names of sidecars by their addresses
	ClockSkews    map[string]int64  `json:"skews,omitempty"`  // milliseconds that a sidecar's clock is behind the service's, by address

	// Of backends.
	Backends      []string      `json:"backends,omitempty"`
	Pods          []int         `json:"pods,omitempty"`
	Cores         int           `json:"cores,omitempty"`
	QueueLength   int           `json:"waiting,omitempty"`
	ServiceTime   time.Duration `json:"work,omitempty"`
	Warmup        time.Duration `json:"cold,omitempty"`
	StartCapacity float64       `json:"part,omitempty"`
	ColdMultiple  float64       `json:"bears,omitempty"`
	MaxConns      int           `json:"conns,omitempty"`
	StartCold     bool          `json:"fresh,omitempty"` // they have just started; otherwise they are warm

	// Of clients.
	Sidecars       map[string]string `json:"sidecars,omitempty"` // addresses by name
	LocalSidecars  []string          `json:"own,omitempty"`      // those of its own site, which it prefers; empty: all are
	RequestRate    float64           `json:"load,omitempty"`     // requests a second
	HealthInterval time.Duration     `json:"poll,omitempty"`
	Seed           uint64            `json:"seed,omitempty"`

	// Of followers of resources.
	Followers []FollowerSpec `json:"followers,omitempty"`
	Hold      time.Duration  `json:"hold,omitempty"`

	// Of a publisher of resources.
	Source      string     `json:"source,omitempty"` // address
	InitialPuts []plan.Put `json:"first,omitempty"`  // before the run
	Puts        []plan.Put `json:"puts,omitempty"`
	RunStart    int64      `json:"began,omitempty"` // when the run began, on its clock; 0: it is still to begin
}

// FollowerSpec is one follower of resources.
type FollowerSpec struct {
	Name       string   `json:"name"`
	Relays     []string `json:"relays"` // addresses
	RelayNames []string `json:"names"`  // of the relays, in the same order
	Resources  []string `json:"follows"`
}

// Command is one thing that an actor is told while it runs.
type Command struct {
	Do      string           `json:"do"`
	Mode    string           `json:"mode,omitempty"`
	Names   []string         `json:"names,omitempty"`
	Members []standin.Member `json:"members,omitempty"`
	On      bool             `json:"on,omitempty"`
	At      int64            `json:"at,omitempty"` // on the run's clock
}

// Commands.
const (
	DoMode    = "mode"    // list services: Mode
	DoMembers = "members" // list services: Members change; DELETED ones go
	DoEnd     = "end"     // backends: Names end, as their processes would
	DoStart   = "start"   // backends: Names start, cold
	DoChoke   = "choke"   // backends: Names take many times as long, or no longer
	DoFail    = "fail"    // backends: Names answer 500 at once, or no longer
	DoMove    = "move"    // backends: Names end and another service has their addresses, or they start again
	DoLoad    = "load"    // clients: the load begins, or ends
	DoFirst   = "first"   // publisher: it writes what stands before the run
	DoBegin   = "begin"   // publisher: the run begins at At
	DoRestart = "restart" // followers: all start anew with what they have
)

// Hello is an actor's first line: where it listens.
type Hello struct {
	Address   string            `json:"address,omitempty"`   // of a list service
	Addresses map[string]string `json:"addresses,omitempty"` // of backends, by name
}

const maxLine = 4 << 20

// runner is an actor's inside.
type runner interface {
	execute(Command) error
	close()
}

// Main is an actor's life.
func Main(in io.Reader, out io.Writer) error { return MainWith(in, out, newFollower) }

// MainWith is Main with followers of resources of another make.
func MainWith(in io.Reader, out io.Writer, build NewFollower) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 1<<16), maxLine)
	if !lines.Scan() {
		return fmt.Errorf("actor: a line that says what it is expected: %w", lines.Err())
	}
	var spec Spec
	if err := json.Unmarshal(lines.Bytes(), &spec); err != nil {
		return fmt.Errorf("actor: a line that says what it is expected: %w", err)
	}
	w := history.NewWriter(out)
	t := recorder{history: w, clock: history.ClockFrom(spec.ClockZero), build: build}
	inside, hello, err := t.newRunner(spec)
	if err != nil {
		return fmt.Errorf("actor %s: %w", spec.Name, err)
	}
	defer inside.close()
	if err := json.NewEncoder(out).Encode(hello); err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		if c, ok := in.(io.Closer); ok {
			c.Close()
		}
	}()
	flushed := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(flushed)
		tick := time.NewTicker(flushInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				_ = w.Flush()
			case <-ended:
				_ = w.Flush()
				return
			}
		}
	}()
	defer func() { close(ended); <-flushed }()
	for lines.Scan() {
		var c Command
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			return fmt.Errorf("actor %s: a command expected: %w", spec.Name, err)
		}
		if err := inside.execute(c); err != nil {
			return fmt.Errorf("actor %s: %s: %w", spec.Name, c.Do, err)
		}
	}
	return nil
}

const flushInterval = 50 * time.Millisecond

// recorder writes events.
type recorder struct {
	history *history.Writer
	clock   history.Clock
	build   NewFollower
}

func (t recorder) record(e history.Event) {
	if e.At == 0 {
		e.At = t.clock.Now()
	}
	t.history.Write(e)
}

func (t recorder) newRunner(s Spec) (runner, Hello, error) {
	switch s.Group {
	case "lists":
		return newLists(s, t)
	case "backends":
		return newBackends(s, t)
	case "clients":
		return newClients(s, t)
	case plan.OnFollowers:
		return newFollowers(s, t), Hello{}, nil
	case plan.OnPublisher:
		return newPublisher(s, t), Hello{}, nil
	}
	return nil, Hello{}, fmt.Errorf("group %q; lists, backends, clients, followers or publisher expected", s.Group)
}
