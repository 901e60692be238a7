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
	answerWithin = 3 * time.Minute // of a worker, to any command
	maxLine      = 64 << 20
)

// team is the processes of one size. Each dies with this one.
type team struct {
	group *process.Set
	args  []string // that start a worker

	mu      sync.Mutex
	replies map[string]chan []byte
	gone    map[string]chan struct{} // closed when a process has ended by itself or by the team
	ending  bool
	fallen  error // the first process that ended by itself
}

func newTeam(args []string) *team {
	t := &team{args: args, replies: map[string]chan []byte{}, gone: map[string]chan struct{}{}}
	t.group = process.New(t.tell)
	return t
}

// tell takes what happens to processes.
func (t *team) tell(e history.Event) {
	if e.Kind != history.Exited {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.gone[e.Who]; c != nil {
		close(c)
		delete(t.gone, e.Who)
	}
	if !t.ending && t.fallen == nil {
		t.fallen = fmt.Errorf("process %s ended %s; what it had is lost, and so is this size", e.Who, e.Why)
	}
}

// failure is why a process ended by itself; nil: none has.
func (t *team) failure() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fallen
}

// worker starts a worker and returns its first reply.
func (t *team) worker(ctx context.Context, name string, spec worker.Spec) (worker.Reply, error) {
	replies := make(chan []byte, 1)
	t.mu.Lock()
	t.replies[name], t.gone[name] = replies, make(chan struct{})
	t.mu.Unlock()
	read := func(out io.Reader) {
		lines := bufio.NewScanner(out)
		lines.Buffer(make([]byte, 1<<16), maxLine)
		for lines.Scan() {
			replies <- append([]byte(nil), lines.Bytes()...)
		}
	}
	if err := t.group.Start(process.Spec{Name: name, Args: t.args, Stdin: true, ReadStdout: read}); err != nil {
		return worker.Reply{}, err
	}
	return t.ask(ctx, name, spec)
}

// server starts a process that says "listening ADDRESS" in its first line, and returns the address.
func (t *team) server(ctx context.Context, name string, args []string) (address string, err error) {
	first := make(chan string, 1)
	t.mu.Lock()
	gone := make(chan struct{})
	t.gone[name] = gone
	t.mu.Unlock()
	read := func(out io.Reader) {
		lines := bufio.NewScanner(out)
		if lines.Scan() {
			first <- lines.Text()
		}
		_, _ = io.Copy(io.Discard, out)
	}
	if err := t.group.Start(process.Spec{Name: name, Args: args, ReadStdout: read}); err != nil {
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

// program starts a process that is told nothing.
func (t *team) program(name string, args []string) error {
	t.mu.Lock()
	t.gone[name] = make(chan struct{})
	t.mu.Unlock()
	return t.group.Start(process.Spec{Name: name, Args: args})
}

// ask writes a line to a worker and returns its reply.
func (t *team) ask(ctx context.Context, name string, line any) (r worker.Reply, err error) {
	t.mu.Lock()
	replies, gone := t.replies[name], t.gone[name]
	t.mu.Unlock()
	if err := t.group.SendCommand(name, line); err != nil {
		return r, errors.Join(t.failure(), fmt.Errorf("%s: %w", name, err))
	}
	late := time.NewTimer(answerWithin)
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
		return r, fmt.Errorf("%s: no answer within %v", name, answerWithin)
	case <-ctx.Done():
		return r, ctx.Err()
	}
}

// askAll gives workers commands at the same time, and returns their replies in order.
func (t *team) askAll(ctx context.Context, names []string, c worker.Command) ([]worker.Reply, error) {
	replies, errs := make([]worker.Reply, len(names)), make([]error, len(names))
	var all sync.WaitGroup
	for i, name := range names {
		all.Go(func() { replies[i], errs[i] = t.ask(ctx, name, c) })
	}
	all.Wait()
	return replies, errors.Join(errs...)
}

// pid is the id of a process.
func (t *team) pid(name string) int { return t.group.PID(name) }

// end kills all processes and waits until they are gone.
func (t *team) end() {
	t.mu.Lock()
	t.ending = true
	t.mu.Unlock()
	t.group.Close()
}
