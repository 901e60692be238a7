// Package worker implements the processes of a scale test other than the program's own: one kind
// runs many hollow proxies, another is a list service with what changes its lists, a third writes
// lists to a source of distribution.
//
// A worker reads a Spec from the first line of its standard input and a Command from each further
// line, and answers each with a Reply on a line of its standard output. It ends when its input
// does.
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
	"runtime/debug"
	"syscall"

	"fernlanding/internal/scale/hollow"
)

const maxLine = 64 << 20 // bytes

// roleWorker is what a worker does by its role.
type roleWorker interface {
	// do carries out a command and fills in its reply. It returns errUnknownCommand for a command
	// that the role lacks.
	do(ctx context.Context, c Command, r *Reply) error
	traffic() hollow.Traffic
	close()
}

var (
	errUnknownCommand = errors.New("not a command of this role")
	errNoSpec         = errors.New("a line that says what it is expected")
)

// Run runs a worker until its input ends. An error of a command is part of its reply; Run returns
// other errors.
func Run(input io.Reader, output io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	lines := bufio.NewScanner(input)
	lines.Buffer(make([]byte, 1<<16), maxLine)
	var spec Spec
	if !lines.Scan() {
		return fmt.Errorf("worker: %w: %w", errNoSpec, errors.Join(lines.Err(), io.ErrUnexpectedEOF))
	}
	if err := json.Unmarshal(lines.Bytes(), &spec); err != nil {
		return fmt.Errorf("worker: %w: %w", errNoSpec, err)
	}
	w, hello, err := newRoleWorker(spec)
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	defer w.close()
	replies := json.NewEncoder(output)
	if err := replies.Encode(hello); err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	for lines.Scan() {
		var c Command
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			return fmt.Errorf("worker: a command expected: %w", err)
		}
		if err := replies.Encode(execute(ctx, w, c)); err != nil {
			return fmt.Errorf("worker: %w", err)
		}
	}
	return lines.Err()
}

// newRoleWorker starts the worker of a role and returns the reply to its Spec.
func newRoleWorker(spec Spec) (roleWorker, Reply, error) {
	switch spec.Role {
	case Proxies:
		if spec.GCPercent > 0 {
			debug.SetGCPercent(spec.GCPercent)
		}
		return newProxyHost(spec), Reply{}, nil
	case ListService:
		l, err := newListService(spec)
		if err != nil {
			return nil, Reply{}, err
		}
		return l, Reply{Address: l.registry.Addr()}, nil
	case Publisher:
		return newPublisher(spec), Reply{}, nil
	default:
		return nil, Reply{}, fmt.Errorf("role %q: %s, %s or %s expected", spec.Role, Proxies, ListService, Publisher)
	}
}

// execute carries out a command and returns its reply.
func execute(ctx context.Context, w roleWorker, c Command) Reply {
	if c.Kind == CommandUsage {
		return Reply{Usage: measureUsage(w.traffic())}
	}
	var r Reply
	if c.Kind == CommandCollect {
		r.State = measureState()
	}
	if err := w.do(ctx, c, &r); err != nil {
		r.Error = fmt.Sprintf("%s: %v", c.Kind, err)
	}
	return r
}
