// Package history is what happened in a run of the rig: one line of JSON an event, all times from one clock, in microseconds
// from the run's beginning.
package history

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"fernlanding/internal/distribution"

	"golang.org/x/sys/unix"
)

// Kind is a kind of event.
type Kind string

// The kinds of event. Whoever is named in Who tells it; To is the other side.
const (
	Began       Kind = "began"     // the run, with its scenario's name in ID and its seed in N
	Ended       Kind = "ended"     // the run; N is how many of its processes are still there
	Fault       Kind = "fault"     // a fault (ID) begins (N 1) or ends (N 0); Why says it
	Started     Kind = "started"   // a process, with its number in N
	Exited      Kind = "gone"      // a process has ended; Why says how
	Stopped     Kind = "stopped"   // a process was stopped (SIGSTOP)
	Continued   Kind = "continued" // and let go on
	Terminating Kind = "told"      // a process is about to be told to end, or to be killed
	Ready       Kind = "ready"     // a sidecar (To) has answered that it is ready
	Log         Kind = "log"       // a line of a process

	ListPolled   Kind = "call"      // a list service answered a call of To; N is the version it went from, negative: the whole list
	Delivered    Kind = "delivered" // a relay has handed on the first Bytes of Conn to their reader
	MemberStatus Kind = "member"    // a backend's (Who) state in the list changed: Why is SERVING, DRAINING or DELETED
	Opened       Kind = "opened"    // a relay took a connection from Who to To
	Sent         Kind = "sent"      // a relay took the first byte of the Nth request on Conn, from Who to To

	Executed       Kind = "ran"     // a backend (Who) began the request ID; N is its number on Conn, Pod drops its repeats
	Overloaded     Kind = "full"    // a backend turned a request away
	Misrouted      Kind = "strayed" // another service, which has the backend's (Who) address, got the request ID; N is its number on Conn
	WarmupOverload Kind = "pushed"  // a cold backend holds more than it bears (N 1), or no longer (N 0)

	LoadEnded Kind = "quiet" // a client process's load has ended, and all its requests
	Requested Kind = "asked" // a client sent request ID to To and had Status after Took; 0: none, and Why

	Put            Kind = "put"        // a publisher wrote ID to Resource and had Status and Version after Took; Urgent: it takes something out
	Subscribed     Kind = "subscribed" // a follower begins to follow Resource and has Version; zero: nothing
	InForce        Kind = "in-force"   // a follower put Version of Resource in force, told by To, from From (zero: the whole); Digest is of all items
	UpdateRejected Kind = "refused"    // a follower did not put Version of Resource in force; Why
	Usage          Kind = "used"       // what a process has used until now, or holds, in Figures
	StatusReported Kind = "reported"   // the source (Who) answered what it knows of a resource's being in force: Report
	CPUWaited      Kind = "waited"     // a process's threads waited for a core for Took in all since it was looked at before, at N
	Lag            Kind = "lag"        // the machine let a process run only when Took had passed since it was to
	Source         Kind = "source"     // the source has Version of Resource with Digest; it was asked Took before
)

// What Call events say.
const (
	ServingMark = "+"        // before the name of a backend that serves
	Snapshot    = "whole"    // Why: the answer takes out all backends that it does not name
	CallerLeft  = "given up" // Why: its caller had gone before the answer
)

// Names of figures in Used events. Those of a source or a relay are also what its statistics call them.
const (
	UsedBytes     = "bytes"       // sent and received by the followers of a process until now
	UsedReads     = "reads"       // messages sent by them until now
	UsedFollowers = "followers"   // of a process of followers
	UsedResident  = "resident"    // memory of a process, in bytes
	UsedSessions  = "sessions"    // that a source or relay holds
	UsedCache     = "cache_bytes" // of updates that it has encoded for followers
	UsedStore     = "store_bytes" // of its resources
)

// Event is one event.
type Event struct {
	At     int64    `json:"at"` // microseconds since the run began
	Kind   Kind     `json:"kind"`
	Who    string   `json:"who,omitempty"`
	To     string   `json:"to,omitempty"`
	ID     string   `json:"id,omitempty"`
	Class  string   `json:"class,omitempty"`
	Key    string   `json:"key,omitempty"` // an idempotency key
	Conn   string   `json:"conn,omitempty"`
	N      int64    `json:"n,omitempty"`
	Bytes  int64    `json:"bytes,omitempty"`
	Status int      `json:"status,omitempty"`
	Took   int64    `json:"took,omitempty"`  // microseconds
	Until  int64    `json:"until,omitempty"` // of Asked: when the client stopped waiting, or would have
	Pod    int      `json:"pod,omitempty"`
	Names  []string `json:"names,omitempty"` // of Call: the backends that its answer tells of, those that serve behind a Serves
	Why    string   `json:"why,omitempty"`

	Resource string                       `json:"resource,omitempty"`
	Version  distribution.Version         `json:"version,omitzero"`
	From     distribution.Version         `json:"from,omitzero"`
	Digest   string                       `json:"digest,omitempty"`
	Urgent   bool                         `json:"urgent,omitempty"`
	Figures  map[string]float64           `json:"figures,omitempty"`
	Report   *distribution.ResourceStatus `json:"report,omitempty"`
}

// Clock counts microseconds from a moment, alike in every process of a machine.
type Clock struct{ zero int64 }

// NewClock returns a clock that begins now.
func NewClock() Clock { return Clock{monotonic()} }

// ClockFrom returns the clock whose Zero another process was told.
func ClockFrom(zero int64) Clock { return Clock{zero} }

// Zero is the clock's beginning, as ClockFrom takes it.
func (c Clock) Zero() int64 { return c.zero }

// Now is the present time.
func (c Clock) Now() int64 { return (monotonic() - c.zero) / 1000 }

// At is the time on the clock of a moment that was read by time.Now in this process.
func (c Clock) At(t time.Time) int64 { return c.Now() - time.Since(t).Microseconds() }

func monotonic() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return time.Now().UnixNano() // never: the clock is there on every Linux
	}
	return t.Nano()
}

const (
	lagInterval = 10 * time.Millisecond
	minLag      = 30 * time.Millisecond // that is told
)

// WatchLag tells whenever a process gets to run late, until the context ends.
func WatchLag(ctx context.Context, who string, clock Clock, tell func(Event)) {
	due := time.Now()
	for {
		due = due.Add(lagInterval)
		timer := time.NewTimer(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if late := time.Since(due); late >= minLag {
			tell(Event{At: clock.Now(), Kind: Lag, Who: who, Took: late.Microseconds()})
			due = time.Now()
		}
	}
}

// Writer writes events; it may be used by many goroutines.
type Writer struct {
	mu  sync.Mutex
	buf *bufio.Writer
	enc *json.Encoder
	err error
}

// NewWriter returns a Writer. Flush has to follow the last event.
func NewWriter(w io.Writer) *Writer {
	b := bufio.NewWriterSize(w, 1<<16)
	return &Writer{buf: b, enc: json.NewEncoder(b)}
}

// Write writes one event. The first error is kept for Flush.
func (w *Writer) Write(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.enc.Encode(e)
	}
}

// Flush writes out what is held back, and returns the first error.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.buf.Flush()
	}
	return w.err
}

// Bounds of a history that is read.
const (
	maxLine   = 1 << 20
	maxEvents = 20_000_000
)

// Read reads a history, and sorts it by time.
func Read(r io.Reader) (all []Event, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 1<<16), maxLine)
	for n := 1; lines.Scan(); n++ {
		if len(all) == maxEvents {
			return nil, fmt.Errorf("history: line %d: at most %d events expected", n, maxEvents)
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("history: line %d: an event expected: %w", n, err)
		}
		if e.Kind == "" || e.At < 0 {
			return nil, fmt.Errorf("history: line %d: an event with kind and at expected", n)
		}
		all = append(all, e)
	}
	if err := lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return nil, fmt.Errorf("history: line %d: at most %d bytes expected", len(all)+1, maxLine)
	} else if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	Sort(all)
	return all, nil
}

// Sort sorts events by time; those of one time stay in their order.
func Sort(all []Event) {
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}
