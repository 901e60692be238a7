package sweep

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/process"
	"fernlanding/internal/scale/worker"
)

const (
	replyTimeout = 3 * time.Minute // of a worker, for any command
	maxLine      = 64 << 20
)

// processGroup starts the processes of one size and talks to the workers among them. All processes
// end with this one.
type processGroup struct {
	set        *process.Set
	workerArgs []string // the command line of a worker

	mu        sync.Mutex
	replies   map[string]chan []byte
	exited    map[string]chan struct{} // closed when a process has exited, by name
	closing   bool
	firstExit error // of a process that was not ended by close
}

func newProcessGroup(args []string) *processGroup {
	g := &processGroup{workerArgs: args, replies: map[string]chan []byte{}, exited: map[string]chan struct{}{}}
	g.set = process.New(g.handleEvent)
	return g
}

// handleEvent notes that a process has exited.
func (g *processGroup) handleEvent(e history.Event) {
	if e.Kind != history.Exited {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.exited[e.Who]; c != nil {
		close(c)
		delete(g.exited, e.Who)
	}
	if !g.closing && g.firstExit == nil {
		g.firstExit = fmt.Errorf("process %s ended %s; what it had is lost, and so is this size", e.Who, e.Reason)
	}
}

// failure returns why the first process exited by itself; nil where none has.
func (g *processGroup) failure() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstExit
}

// startWorker starts a worker and returns its reply to the spec.
func (g *processGroup) startWorker(ctx context.Context, name string, spec worker.Spec) (worker.Reply, error) {
	replies := make(chan []byte, 1)
	g.mu.Lock()
	g.replies[name], g.exited[name] = replies, make(chan struct{})
	g.mu.Unlock()
	read := func(out io.Reader) {
		lines := bufio.NewScanner(out)
		lines.Buffer(make([]byte, 1<<16), maxLine)
		for lines.Scan() {
			replies <- append([]byte(nil), lines.Bytes()...)
		}
	}
	if err := g.set.Start(process.Spec{Name: name, Args: g.workerArgs, Stdin: true, ReadStdout: read}); err != nil {
		return worker.Reply{}, err
	}
	return g.request(ctx, name, spec)
}

// startServer starts a process whose first line of output is "listening ADDRESS", and returns the
// address.
func (g *processGroup) startServer(ctx context.Context, name string, args []string) (address string, err error) {
	first := make(chan string, 1)
	g.mu.Lock()
	gone := make(chan struct{})
	g.exited[name] = gone
	g.mu.Unlock()
	read := func(out io.Reader) {
		lines := bufio.NewScanner(out)
		if lines.Scan() {
			first <- lines.Text()
		}
		_, _ = io.Copy(io.Discard, out)
	}
	if err := g.set.Start(process.Spec{Name: name, Args: args, ReadStdout: read}); err != nil {
		return "", err
	}
	select {
	case line := <-first:
		address, found := strings.CutPrefix(line, "listening ")
		if !found {
			return "", fmt.Errorf("%s: %q; \"listening ADDRESS\" expected", name, line)
		}
		return address, nil
	case <-gone:
		return "", errors.Join(g.failure(), fmt.Errorf("%s: ended before it listened", name))
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// startProgram starts a process that is neither a worker nor a server.
func (g *processGroup) startProgram(name string, args []string) error {
	g.mu.Lock()
	g.exited[name] = make(chan struct{})
	g.mu.Unlock()
	return g.set.Start(process.Spec{Name: name, Args: args})
}

// request writes a line to a worker and returns its reply.
func (g *processGroup) request(ctx context.Context, name string, line any) (r worker.Reply, err error) {
	g.mu.Lock()
	replies, gone := g.replies[name], g.exited[name]
	g.mu.Unlock()
	if err := g.set.SendCommand(name, line); err != nil {
		return r, errors.Join(g.failure(), fmt.Errorf("%s: %w", name, err))
	}
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	select {
	case data := <-replies:
		if err := json.Unmarshal(data, &r); err != nil {
			return r, fmt.Errorf("%s: reply: %w", name, err)
		}
		if r.Error != "" {
			return r, fmt.Errorf("%s: %s", name, r.Error)
		}
		return r, nil
	case <-gone:
		return r, errors.Join(g.failure(), fmt.Errorf("%s: ended before it answered", name))
	case <-timeout.C:
		return r, fmt.Errorf("%s: no answer within %v", name, replyTimeout)
	case <-ctx.Done():
		return r, ctx.Err()
	}
}

// requestAll writes a command to workers concurrently and returns their replies in order.
func (g *processGroup) requestAll(ctx context.Context, names []string, c worker.Command) ([]worker.Reply, error) {
	replies, errs := make([]worker.Reply, len(names)), make([]error, len(names))
	var all sync.WaitGroup
	for i, name := range names {
		all.Go(func() { replies[i], errs[i] = g.request(ctx, name, c) })
	}
	all.Wait()
	return replies, errors.Join(errs...)
}

// pid returns the id of a process.
func (g *processGroup) pid(name string) int { return g.set.PID(name) }

// close kills all processes and waits until they have exited.
func (g *processGroup) close() {
	g.mu.Lock()
	g.closing = true
	g.mu.Unlock()
	g.set.Close()
}
