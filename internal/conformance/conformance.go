// Package conformance is one table of requests, faults and expected outcomes that every front and every upstream has
// to fulfil, driven from outside: a client on one side, stand-in backends on the other. A new protocol adds a Front or
// an Upstream to the columns, and no cases of its own where the words mean the same.
package conformance

import (
	"context"
	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// Fault is what a backend does with an attempt.
type Fault int

// The faults.
const (
	Serve        Fault = iota // no fault: 200 with Body of the attempt
	NotListening              // the connection is refused
	Full                      // turned away with the proof that it never ran
	Error                     // an error of the backend's own
	Busy                      // turned away without the proof
	Reset                     // the connection breaks when the request has come whole
	HalfHead                  // breaks off in the answer's head
	HalfBody                  // breaks off in its body
	Noise                     // says what can't be read
	TwoFramings               // gives its length in two ways
	TooLong                   // an answer of more than is allowed
	Stall                     // begins an answer and says no more
	Hang                      // says nothing

	Nonsense      // 4xx: says that the request makes no sense
	Created       // 201
	EarlyWords    // 1xx answers first, then serves
	ServedAndMore // serves, and something follows the answer
)

// mayHaveRun tells whether an attempt that ended so may have run.
func (f Fault) mayHaveRun() bool { return f > Full }

// String names a fault.
func (f Fault) String() string {
	return [...]string{
		"serve", "not listening", "full", "error", "busy", "reset", "half a head", "half a body", "noise", "two framings",
		"too long", "stall", "hang", "nonsense", "created", "early words", "served and more",
	}[f]
}

// Class is a class by its repeat rule.
type Class string

// The classes of the configuration that the table is played on.
const (
	Safe   Class = "safe"
	Keyed  Class = "keyed"
	Unsafe Class = "unsafe"
)

// Outcome is what a client makes of its answer.
type Outcome string

// The outcomes.
const (
	Served   Outcome = "served"
	Refused  Outcome = "refused"  // trying again is harmless
	Failed   Outcome = "failed"   // no such promise
	Rejected Outcome = "rejected" // the request makes no sense
)

// Case is a row of the table.
type Case struct {
	Name     string
	Class    Class
	Faults   []Fault // of the first, second, ... attempt; the last stands for all that follow
	Want     Outcome
	Attempts int // that come whole to a backend
}

// Cases is the table.
func Cases() (all []Case) {
	for _, class := range []Class{Safe, Keyed, Unsafe} {
		for f := Serve; f <= Hang; f++ {
			c := Case{Name: fmt.Sprintf("%s, %s", class, f), Class: class, Faults: []Fault{f, Serve}, Want: Served, Attempts: 2}
			switch {
			case f == Serve, f == NotListening:
				c.Attempts = 1
			case class == Unsafe && f.mayHaveRun(): // it may have run: never again, and no promise
				c.Want, c.Attempts = Failed, 1
			}
			all = append(all, c)
		}
		all = append(all,
			Case{fmt.Sprintf("%s, full everywhere", class), class, []Fault{Full}, Refused, 3},
			Case{fmt.Sprintf("%s, full, then an error", class), class, []Fault{Full, Error, Serve}, Served, 3},
			Case{fmt.Sprintf("%s, nonsense", class), class, []Fault{Nonsense}, Rejected, 1},
			Case{fmt.Sprintf("%s, created", class), class, []Fault{Created}, Served, 1},
			Case{fmt.Sprintf("%s, early words", class), class, []Fault{EarlyWords}, Served, 1},
			Case{fmt.Sprintf("%s, more behind the answer", class), class, []Fault{ServedAndMore}, Served, 1},
		)
	}
	for i := range all { // the exceptions
		c := &all[i]
		if c.Name == "unsafe, full, then an error" {
			c.Want, c.Attempts = Failed, 2
		}
	}
	return append(all,
		Case{"safe, errors everywhere", Safe, []Fault{Error}, Refused, 3},
		Case{"keyed, errors everywhere", Keyed, []Fault{Error}, Failed, 3}, // a pod may hold it: no promise
		Case{"unsafe, busy everywhere", Unsafe, []Fault{Busy}, Failed, 1},
	)
}

// Script says what becomes of the next attempt that comes to a backend.
type Script func() (f Fault, body string)

// Upstream is a protocol's stand-in backends.
type Upstream interface {
	// Start starts a backend that does what script says of each attempt that comes whole, and returns its address. If
	// that is to serve, body is the answer's.
	Start(t testing.TB, script Script) (addr string)
	// Config is what a service needs in the configuration to be reached so, as lines of TOML; empty for HTTP/1.1.
	Config() string
}

// Front is a protocol's client.
type Front interface {
	// Send sends a request of a class and returns what a client makes of the answer, with its body. It sends nothing
	// again by itself.
	Send(t testing.TB, addr string, class Class, id string, timeout time.Duration) (Outcome, string)
}

const (
	deadline = 2500 * time.Millisecond
	cells    = 2
)

// Run plays the table.
func Run(t *testing.T, front Front, upstream Upstream) {
	for _, c := range Cases() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			play(t, c, front, upstream)
		})
	}
}

func play(t *testing.T, c Case, front Front, upstream Upstream) {
	var mu sync.Mutex
	var came []int // the cells that attempts came to
	script := func(cell int) Script {
		return func() (Fault, string) {
			mu.Lock()
			defer mu.Unlock()
			n := len(came)
			if c.Faults[0] == NotListening {
				n++ // the first attempt does not come
			}
			came = append(came, cell)
			return c.Faults[min(n, len(c.Faults)-1)], Body(len(came))
		}
	}
	var endpoints strings.Builder
	for cell := range cells {
		for i := range 2 {
			addr := ""
			if c.Faults[0] == NotListening && cell+i == 0 {
				addr = "127.0.0.1:1" // where nothing listens
			} else if addr = upstream.Start(t, script(cell)); c.Faults[0] == NotListening && i == 1 {
				continue // so that the dead one is likely to be drawn
			}
			fmt.Fprintf(&endpoints, "[[services.s.endpoints]]\nname = \"b%d%d\"\naddress = %q\ncell = %d\n", cell, i, addr, cell)
		}
	}
	text := fmt.Sprintf(`version = 1
[[listeners]]
address = "127.0.0.1:0"
[[routes]]
name = "safe"
prefix = "/safe"
service = "s"
class = "safe"
[[routes]]
name = "keyed"
prefix = "/keyed"
service = "s"
class = "keyed"
[[routes]]
name = "unsafe"
prefix = "/unsafe"
service = "s"
class = "unsafe"
[services.s]
max_answer = 100_000
%s
[services.s.classes]
safe = { repeat = "safe", objective = "300ms", deadline = "%v" }
keyed = { repeat = "keyed", objective = "300ms", deadline = "%v", dedup_scope = "cell", dedup_window = "9s" }
unsafe = { repeat = "unsafe", objective = "300ms", deadline = "%v" }
%s`, upstream.Config(), deadline, deadline, deadline, endpoints.String())
	app, err := config.Decode("table", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	addr := Start(t, app)
	outcome, body := front.Send(t, addr, c.Class, "r1", deadline)
	mu.Lock()
	defer mu.Unlock()
	if outcome != c.Want {
		t.Errorf("%s, %s expected", outcome, c.Want)
	}
	if len(came) != c.Attempts && !(c.Faults[0] == NotListening && len(came) == 1) {
		t.Errorf("%d attempts came to backends, %d expected", len(came), c.Attempts)
	}
	if outcome == Served && body != Body(len(came)) {
		t.Errorf("served with %.60q, the answer of attempt %d expected", body, len(came))
	}
	for i, cell := range came {
		if c.Class == Keyed && i > 0 && c.Faults[min(i-1, len(c.Faults)-1)].mayHaveRun() && cell != came[i-1] {
			t.Errorf("a keyed request that may have run went from cell %d to %d", came[i-1], cell)
		}
	}
}

// Body is the answer's body of the nth attempt, from 1.
func Body(n int) string { return fmt.Sprintf("answer %d", n) }

// Start runs a sidecar until the test ends, and returns its address.
func Start(t testing.TB, app *config.App) (addr string) {
	t.Helper()
	s, err := sidecar.New(app, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() { stop(); run.Wait() })
	if err := s.WaitReady(ctx, 20*time.Second); err != nil {
		t.Fatal(err)
	}
	return s.Addr()
}
