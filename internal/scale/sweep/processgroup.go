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
	maxLine      = 64 << 20        // bytes of a reply
)

// processGroup starts the processes of one size and exchanges commands and replies with workers. All
// processes end when this process ends.
type processGroup struct {
	set        *process.Set
	workerArgs []string // command line of a worker

	mu        sync.Mutex
	replies   map[string]chan []byte   // by name of the worker
	exited    map[string]chan struct{} // by name; closed when the process has exited
	closing   bool
	firstExit error // of a process that close did not stop
}

func newProcessGroup(args []string) *processGroup {
	g := &processGroup{workerArgs: args, replies: map[string]chan []byte{}, exited: map[string]chan struct{}{}}
	g.set = process.New(g.handleEvent)
	return g
}

// handleEvent records the exit of a process.
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
		g.firstExit = fmt.Errorf("process %s exited unexpectedly: %s: measurements of this size lost", e.Who, e.Reason)
	}
}

// unexpectedExit returns the error of the first process that exited before close, or nil.
func (g *processGroup) unexpectedExit() error {
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

// startServer starts a process whose first line of output is "listening ADDRESS". It returns that
// address.
func (g *processGroup) startServer(ctx context.Context, name string, args []string) (address string, err error) {
	first := make(chan string, 1)
	g.mu.Lock()
	exited := make(chan struct{})
	g.exited[name] = exited
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
			return "", fmt.Errorf("%s: unexpected output %q: want \"listening ADDRESS\"", name, line)
		}
		return address, nil
	case <-exited:
		return "", errors.Join(g.unexpectedExit(), fmt.Errorf("%s: exited before listening", name))
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// startProgram starts a process whose output is not read.
func (g *processGroup) startProgram(name string, args []string) error {
	g.mu.Lock()
	g.exited[name] = make(chan struct{})
	g.mu.Unlock()
	return g.set.Start(process.Spec{Name: name, Args: args})
}

// request writes a line to a worker and returns the reply of the worker.
func (g *processGroup) request(ctx context.Context, name string, line any) (r worker.Reply, err error) {
	g.mu.Lock()
	replies, exited := g.replies[name], g.exited[name]
	g.mu.Unlock()
	if err := g.set.SendCommand(name, line); err != nil {
		return r, errors.Join(g.unexpectedExit(), fmt.Errorf("%s: %w", name, err))
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
	case <-exited:
		return r, errors.Join(g.unexpectedExit(), fmt.Errorf("%s: exited before the reply", name))
	case <-timeout.C:
		return r, fmt.Errorf("%s: no reply within %v", name, replyTimeout)
	case <-ctx.Done():
		return r, ctx.Err()
	}
}

// requestAll writes a command to workers concurrently and returns their replies in the order of
// names.
func (g *processGroup) requestAll(ctx context.Context, names []string, c worker.Command) ([]worker.Reply, error) {
	replies, errs := make([]worker.Reply, len(names)), make([]error, len(names))
	var all sync.WaitGroup
	for i, name := range names {
		all.Go(func() { replies[i], errs[i] = g.request(ctx, name, c) })
	}
	all.Wait()
	return replies, errors.Join(errs...)
}

// pid returns the process ID of a process.
func (g *processGroup) pid(name string) int { return g.set.PID(name) }

// close kills all processes and waits until they have exited.
func (g *processGroup) close() {
	g.mu.Lock()
	g.closing = true
	g.mu.Unlock()
	g.set.Close()
}
