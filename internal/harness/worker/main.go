// Package worker runs the stand-in processes of the harness: list services, backends, clients, and
// publishers and followers of resources. One process can run many stand-ins. A worker reads its
// Spec from the first line of its standard input and one Command from each further line. It writes
// a Hello and then events to its standard output, one per line. It exits when its input ends, so
// that no worker outlives the harness.
package worker

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

const (
	lineBytes     = 1 << 16               // initial size of the buffer for a line of input
	maxLineBytes  = 4 << 20               // largest line of input
	flushInterval = 50 * time.Millisecond // interval between two flushes of the events
)

// errUnknownCommand is the error for a command that the worker's group does not support.
var errUnknownCommand = errors.New("unknown command")

// runner is the stand-ins that a worker runs.
type runner interface {
	// execute carries out a command. Calls are sequential. ctx is done when the worker ends.
	execute(ctx context.Context, command Command) error
	// close releases all resources and waits for all goroutines. It is called once, after the
	// context of execute is done.
	close()
}

// Main runs a worker until its input ends.
func Main(in io.Reader, out io.Writer) error { return MainWith(in, out, newFollower) }

// MainWith is like Main but creates followers of resources with build.
func MainWith(in io.Reader, out io.Writer, build NewFollower) error {
	terminated, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, lineBytes), maxLineBytes)
	spec, err := readSpec(lines)
	if err != nil {
		return err
	}
	r := recorder{history: history.NewWriter(out), clock: history.ClockFrom(spec.ClockZero), build: build}
	// SIGTERM must not cancel ctx directly: it closes the input, and the end of the input ends the
	// runner.
	ctx, cancel := context.WithCancel(context.WithoutCancel(terminated))
	defer cancel()
	runner, hello, err := r.newRunner(ctx, spec)
	if err != nil {
		return fmt.Errorf("worker %s: %w", spec.Name, err)
	}
	defer func() {
		cancel()
		runner.close()
	}()
	if err := json.NewEncoder(out).Encode(hello); err != nil {
		return err
	}
	context.AfterFunc(terminated, func() {
		if input, ok := in.(io.Closer); ok {
			_ = input.Close() // the input is not read any further
		}
	})
	defer r.flushPeriodically()()
	return executeAll(ctx, lines, spec.Name, runner)
}

// readSpec reads the first line of the input.
func readSpec(lines *bufio.Scanner) (Spec, error) {
	if !lines.Scan() {
		return Spec{}, fmt.Errorf("worker: missing spec in the first line of input: %w", lines.Err())
	}
	var spec Spec
	if err := json.Unmarshal(lines.Bytes(), &spec); err != nil {
		return Spec{}, fmt.Errorf("worker: invalid spec in the first line of input: %w", err)
	}
	return spec, nil
}

// executeAll executes the commands in the lines after the first until the input ends.
func executeAll(ctx context.Context, lines *bufio.Scanner, name string, runner runner) error {
	for lines.Scan() {
		var command Command
		if err := json.Unmarshal(lines.Bytes(), &command); err != nil {
			return fmt.Errorf("worker %s: invalid command: %w", name, err)
		}
		if err := runner.execute(ctx, command); err != nil {
			return fmt.Errorf("worker %s: %s: %w", name, command.Do, err)
		}
	}
	return nil
}

// recorder records the events of a worker and creates its runner.
type recorder struct {
	history *history.Writer
	clock   history.Clock
	build   NewFollower
}

// record writes an event. If the event has no time, record sets the current time. It may be called
// from any goroutine.
func (r recorder) record(e history.Event) {
	if e.At == 0 {
		e.At = r.clock.Now()
	}
	r.history.Write(e)
}

// flushPeriodically flushes buffered events every flushInterval until stop is called. stop flushes
// the last events and waits for the goroutine.
func (r recorder) flushPeriodically() (stop func()) {
	done := make(chan struct{})
	var flushing sync.WaitGroup
	flushing.Go(func() {
		ticker := time.NewTicker(flushInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				_ = r.history.Flush() // fails only after the harness has exited, which also ends the input
			case <-done:
				_ = r.history.Flush()
				return
			}
		}
	})
	return func() {
		close(done)
		flushing.Wait()
	}
}

// newRunner starts the runner that spec describes. The runner's goroutines run until ctx is done.
func (r recorder) newRunner(ctx context.Context, spec Spec) (runner, Hello, error) {
	switch spec.Group {
	case "lists":
		return newListService(spec, r)
	case "backends":
		return newBackendGroup(spec, r)
	case "clients":
		return newClientGroup(ctx, spec, r), Hello{}, nil
	case plan.OnFollowers:
		return newFollowers(ctx, spec, r), Hello{}, nil
	case plan.OnPublisher:
		return newPublisher(ctx, spec, r), Hello{}, nil
	}
	return nil, Hello{}, fmt.Errorf(
		"unknown group %q: want lists, backends, clients, followers or publisher", spec.Group,
	)
}
