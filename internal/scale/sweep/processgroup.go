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
	replyTimeout = 3 * time.Minute // of a worker, to any command
	maxLine      = 64 << 20
)

// processGroup is the processes of one size. Each dies with this one.
type processGroup struct {
	set        *process.Set
	workerArgs []string // that start a worker

	mu        sync.Mutex
	replies   map[string]chan []byte
	exited    map[string]chan struct{} // closed when a process has ended by itself or by the team
	closing   bool
	firstExit error // the first process that ended by itself
}

func newProcessGroup(args []string) *processGroup {
	t := &processGroup{workerArgs: args, replies: map[string]chan []byte{}, exited: map[string]chan struct{}{}}
	t.set = process.New(t.handleEvent)
	return t
}

// handleEvent takes what happens to processes.
func (t *processGroup) handleEvent(e history.Event) {
	if e.Kind != history.Gone {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.exited[e.Who]; c != nil {
		close(c)
		delete(t.exited, e.Who)
	}
	if !t.closing && t.firstExit == nil {
		t.firstExit = fmt.Errorf("process %s ended %s; what it had is lost, and so is this size", e.Who, e.Why)
	}
}

// failure is why a process ended by itself; nil: none has.
func (t *processGroup) failure() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstExit
}

// startWorker starts a worker and returns its first reply.
func (t *processGroup) startWorker(ctx context.Context, name string, spec worker.Spec) (worker.Reply, error) {
	replies := make(chan []byte, 1)
	t.mu.Lock()
	t.replies[name], t.exited[name] = replies, make(chan struct{})
	t.mu.Unlock()
	read := func(out io.Reader) {
		lines := bufio.NewScanner(out)
		lines.Buffer(make([]byte, 1<<16), maxLine)
		for lines.Scan() {
			replies <- append([]byte(nil), lines.Bytes()...)
		}
	}
	if err := t.set.Start(process.Spec{Name: name, Args: t.workerArgs, Talks: true, Read: read}); err != nil {
		return worker.Reply{}, err
	}
	return t.request(ctx, name, spec)
}

// startServer starts a process that says "listening ADDRESS" in its first line, and returns the address.
func (t *processGroup) startServer(ctx context.Context, name string, args []string) (address string, err error) {
	first := make(chan string, 1)
	t.mu.Lock()
	gone := make(chan struct{})
	t.exited[name] = gone
	t.mu.Unlock()
	read := func(out io.Reader) {
		lines := bufio.NewScanner(out)
		if lines.Scan() {
			first <- lines.Text()
		}
		_, _ = io.Copy(io.Discard, out)
	}
	if err := t.set.Start(process.Spec{Name: name, Args: args, Read: read}); err != nil {
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
		return "", errors.Join(t.failure(), fmt.Errorf("%s: ended before it listened", name))
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// startProgram starts a process that is told nothing.
func (t *processGroup) startProgram(name string, args []string) error {
	t.mu.Lock()
	t.exited[name] = make(chan struct{})
	t.mu.Unlock()
	return t.set.Start(process.Spec{Name: name, Args: args})
}

// request writes a line to a worker and returns its reply.
func (t *processGroup) request(ctx context.Context, name string, line any) (r worker.Reply, err error) {
	t.mu.Lock()
	replies, gone := t.replies[name], t.exited[name]
	t.mu.Unlock()
	if err := t.set.Say(name, line); err != nil {
		return r, errors.Join(t.failure(), fmt.Errorf("%s: %w", name, err))
	}
	late := time.NewTimer(replyTimeout)
	defer late.Stop()
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
		return r, errors.Join(t.failure(), fmt.Errorf("%s: ended before it answered", name))
	case <-late.C:
		return r, fmt.Errorf("%s: no answer within %v", name, replyTimeout)
	case <-ctx.Done():
		return r, ctx.Err()
	}
}

// requestAll gives workers commands at the same time, and returns their replies in order.
func (t *processGroup) requestAll(ctx context.Context, names []string, c worker.Command) ([]worker.Reply, error) {
	replies, errs := make([]worker.Reply, len(names)), make([]error, len(names))
	var all sync.WaitGroup
	for i, name := range names {
		all.Go(func() { replies[i], errs[i] = t.request(ctx, name, c) })
	}
	all.Wait()
	return replies, errors.Join(errs...)
}

// pid is the id of a process.
func (t *processGroup) pid(name string) int { return t.set.PID(name) }

// close kills all processes and waits until they are gone.
func (t *processGroup) close() {
	t.mu.Lock()
	t.closing = true
	t.mu.Unlock()
	t.set.End()
}
