// Package worker is the processes of a scale test other than the program's own: one has many hollow proxies, another list
// services and what changes them. A worker is told what it is by the first line of its standard input and one command by
// each further line; it answers each with one line on its standard output. It ends when its input does.
package worker

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"syscall"
	"time"

	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/topology"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Role is what a worker is.
type Role string

// The roles.
const (
	Proxies Role = "proxies" // has hollow proxies
	Lists   Role = "lists"   // is a list service, and changes its lists
	Publish Role = "publish" // writes lists to a source of distribution, and changes them
)

// Spec is what a worker is told first.
type Spec struct {
	Role   Role            `json:"role"`
	Layout topology.Layout `json:"layout"`
	First  int             `json:"first,omitempty"`  // of Proxies: the number of the first
	GC     int             `json:"gc,omitempty"`     // of Proxies: percent of what lives before the next collection; 0: the usual
	Count  int             `json:"count,omitempty"`  // of Proxies
	Index  int             `json:"index,omitempty"`  // of Lists: its number among them
	Of     int             `json:"of,omitempty"`     // of Lists: how many there are
	Source string          `json:"source,omitempty"` // of Publish: the source's address
}

// Do is what a command asks for.
type Do string

// The commands.
const (
	DoStart   Do = "start"   // Proxies: start them and wait until they have all lists; Publish: write all lists
	DoLoad    Do = "load"    // Proxies: begin to make calls; Lists, Publish: begin to change lists
	DoUsage   Do = "usage"   // say what has been used so far
	DoChanges Do = "changes" // Lists, Publish: say what was changed since this was last asked
	DoCollect Do = "collect" // say what lives after a collection; Proxies: and how long Changes took, and what became of calls
)

// Command is one command.
type Command struct {
	Do      Do       `json:"do"`
	Changes []Change `json:"changes,omitempty"`
}

// Change is a version of a service's list and when it was made.
type Change struct {
	Service string `json:"service"`
	Version int64  `json:"version"`
	At      int64  `json:"at"` // of hollow.Now, before it was written
}

// Reply is the answer to a command, and to the first line.
type Reply struct {
	Error   string   `json:"error,omitempty"` // of a command that could not be carried out
	Address string   `json:"address,omitempty"`
	Usage   Usage    `json:"usage,omitzero"`
	Changes []Change `json:"changes,omitempty"`
	State   State    `json:"state,omitzero"`
}

// Usage is what a worker has used since its start.
type Usage struct {
	At             int64   `json:"at"` // of hollow.Now
	CPUSeconds     float64 `json:"cpu_seconds"`
	AllocatedBytes int64   `json:"allocated_bytes"`
	Allocations    int64   `json:"allocations"`
	hollow.Traffic
}

// State is what a worker holds at a moment, and what it has gathered.
type State struct {
	HeapBytes  int64             `json:"heap_bytes"` // live, after a collection
	Goroutines int               `json:"goroutines"`
	InForce    []byte            `json:"in_force,omitempty"` // a histogram of microseconds, encoded
	Lost       int64             `json:"lost,omitempty"`     // arrivals that could not be kept
	Calls      []byte            `json:"calls,omitempty"`    // a histogram of nanoseconds, encoded
	Served     int64             `json:"served,omitempty"`
	Others     int64             `json:"others,omitempty"`
	Skipped    int64             `json:"skipped,omitempty"`
	Failures   map[string]string `json:"failures,omitempty"` // why proxies ended, by name
}

const (
	maxLine      = 64 << 20
	slowestInUs  = int64(10 * time.Minute / time.Microsecond)
	precision    = 3 // digits
	readyWithin  = 2 * time.Minute
	allocBytes   = "/gc/heap/allocs:bytes"
	allocObjects = "/gc/heap/allocs:objects"
)

// NewInForce returns an empty histogram of the times until changes were in force, in microseconds.
func NewInForce() *hdrhistogram.Histogram { return hdrhistogram.New(1, slowestInUs, precision) }

// part is a worker's inside.
type part interface {
	do(ctx context.Context, c Command, r *Reply) error
	traffic() hollow.Traffic
	close()
}

var errNoCommand = errors.New("not a command of this role")

// Main is a worker's life.
func Main(input io.Reader, output io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	lines := bufio.NewScanner(input)
	lines.Buffer(make([]byte, 1<<16), maxLine)
	var spec Spec
	if !lines.Scan() {
		return fmt.Errorf("worker: a line that says what it is expected: %w", errors.Join(lines.Err(), io.ErrUnexpectedEOF))
	}
	if err := json.Unmarshal(lines.Bytes(), &spec); err != nil {
		return fmt.Errorf("worker: a line that says what it is expected: %w", err)
	}
	p, hello, err := begin(spec)
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	defer p.close()
	replies := json.NewEncoder(output)
	if err := replies.Encode(hello); err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	for lines.Scan() {
		var c Command
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			return fmt.Errorf("worker: a command expected: %w", err)
		}
		if err := replies.Encode(carryOut(ctx, p, c)); err != nil {
			return fmt.Errorf("worker: %w", err)
		}
	}
	return lines.Err()
}

func begin(spec Spec) (part, Reply, error) {
	switch spec.Role {
	case Proxies:
		if spec.GC > 0 {
			debug.SetGCPercent(spec.GC)
		}
		return newProxies(spec), Reply{}, nil
	case Lists:
		l, err := newLists(spec)
		if err != nil {
			return nil, Reply{}, err
		}
		return l, Reply{Address: l.registry.Addr()}, nil
	case Publish:
		return newPublisher(spec), Reply{}, nil
	}
	return nil, Reply{}, fmt.Errorf("role %q: %s, %s or %s expected", spec.Role, Proxies, Lists, Publish)
}

// carryOut carries a command out.
func carryOut(ctx context.Context, p part, c Command) (r Reply) {
	switch c.Do {
	case DoUsage:
		r.Usage = usage(p.traffic())
		return r
	case DoCollect:
		r.State = state()
	}
	if err := p.do(ctx, c, &r); err != nil {
		r.Error = fmt.Sprintf("%s: %v", c.Do, err)
	}
	return r
}

// usage is what this process has used since its start.
func usage(t hollow.Traffic) Usage {
	allocs := []metrics.Sample{{Name: allocBytes}, {Name: allocObjects}}
	metrics.Read(allocs)
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used) // can't fail with these arguments
	cpu := time.Duration(used.Utime.Nano() + used.Stime.Nano())
	return Usage{
		At: hollow.MonotonicNow(), CPUSeconds: cpu.Seconds(), AllocatedBytes: int64(allocs[0].Value.Uint64()),
		Allocations: int64(allocs[1].Value.Uint64()), Traffic: t,
	}
}

// state is what lives in this process.
func state() State {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return State{HeapBytes: int64(m.HeapAlloc), Goroutines: runtime.NumGoroutine()}
}
