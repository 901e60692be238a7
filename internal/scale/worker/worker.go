// Package worker implements the worker processes of a scale test. The roles are a host of many
// hollow proxies, a list service that changes its lists, and a publisher that writes lists to a
// source of distribution.
//
// A worker reads a Spec from the first line of its standard input and a Command from each further
// line. It answers each line with a Reply on a line of its standard output. A worker exits at the
// end of its input.
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

// roleWorker is the implementation of a role.
type roleWorker interface {
	// do executes a command and sets fields of the reply. It returns errUnknownCommand for a command
	// that the role does not support.
	do(ctx context.Context, c Command, r *Reply) error
	traffic() hollow.Traffic
	close()
}

var (
	errUnknownCommand = errors.New("command not supported by this role")
	errInvalidSpec    = errors.New("invalid spec")
)

// Run runs a worker until the end of its input. The error of a command is part of its reply. Run
// returns all other errors.
func Run(input io.Reader, output io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	lines := bufio.NewScanner(input)
	lines.Buffer(make([]byte, 1<<16), maxLine)
	var spec Spec
	if !lines.Scan() {
		return fmt.Errorf("worker: %w: %w", errInvalidSpec, errors.Join(lines.Err(), io.ErrUnexpectedEOF))
	}
	if err := json.Unmarshal(lines.Bytes(), &spec); err != nil {
		return fmt.Errorf("worker: %w: %w", errInvalidSpec, err)
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
			return fmt.Errorf("worker: invalid command: %w", err)
		}
		if err := replies.Encode(execute(ctx, w, c)); err != nil {
			return fmt.Errorf("worker: %w", err)
		}
	}
	return lines.Err()
}

// newRoleWorker starts the implementation of a role and returns the reply to the Spec.
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
		return nil, Reply{}, fmt.Errorf("unknown role %q: want %s, %s or %s",
			spec.Role, Proxies, ListService, Publisher)
	}
}

// execute executes a command and returns its reply.
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
