// Package launch has what runs of the rig have in common at their start: ports that nobody uses, and actors that say hello.
package launch

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/process"
	"fernlanding/internal/harness/worker"
)

const (
	firstPort        = 20_000 // below those that the kernel deals out
	lastPort         = 30_000
	networkCount     = 200     // of loopback addresses
	maxLineBytes     = 4 << 20 // bytes of a line of an actor
	initialLineBytes = 1 << 16 // the same, before more is asked for
	networkGap       = 7       // between the first networks of two rigs whose process numbers are neighbours
	portGap          = 131     // the same of ports
	portStep         = 997     // from one try to the next
)

// FindNetwork finds a network of loopback addresses and a port, the first of a count, that nobody uses, and has open take them. Where open
// fails it tries others; the error is that of the last try.
func FindNetwork(count int, open func(network, port int) error) error {
	err := errors.New("no try has been made")
	for try := range networkCount {
		network := (os.Getpid()*networkGap + try) % networkCount
		port := firstPort + (os.Getpid()*portGap+try*portStep)%(lastPort-firstPort-count)
		var guard net.Listener
		if guard, err = net.Listen("tcp4", net.JoinHostPort(link.AddrOf(network, 0).String(), strconv.Itoa(port))); err != nil {
			continue
		}
		guard.Close()
		if err = open(network, port); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no free ports from %d to %d: %w", firstPort, lastPort, err)
}

// WorkerStarter starts actors.
type WorkerStarter struct {
	Processes *process.Set
	Program   []string // an actor and its first arguments
	Env       []string // further environment
	Clock     history.Clock
	OnEvent   func(history.Event) // takes each event that an actor tells
}

// Start starts an actor and returns its first line.
func (a WorkerStarter) Start(ctx context.Context, spec worker.Spec) (hello worker.Hello, err error) {
	spec.ClockZero = a.Clock.Zero()
	first, err := json.Marshal(spec)
	if err != nil {
		return hello, err
	}
	greeting := make(chan []byte, 1)
	err = a.Processes.Start(process.Spec{Name: spec.Name, Args: a.Program, Env: a.Env, Stdin: true, ReadStdout: func(out io.Reader) { a.read(out, greeting) }})
	if err != nil {
		return hello, err
	}
	if err := a.Processes.WriteLine(spec.Name, first); err != nil {
		return hello, err
	}
	select {
	case line, ok := <-greeting:
		if !ok {
			return hello, fmt.Errorf("%s has ended at its start", spec.Name)
		}
		if err := json.Unmarshal(line, &hello); err != nil {
			return hello, fmt.Errorf("%s: its first line: %w", spec.Name, err)
		}
		return hello, nil
	case <-ctx.Done():
		return hello, fmt.Errorf("%s does not start: %w", spec.Name, ctx.Err())
	}
}

// read reads an actor's output to its end: the first line is its greeting, the others are events.
func (a WorkerStarter) read(out io.Reader, greeting chan<- []byte) {
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	if lines.Scan() {
		greeting <- append([]byte(nil), lines.Bytes()...)
	}
	close(greeting)
	for lines.Scan() {
		var e history.Event
		if json.Unmarshal(lines.Bytes(), &e) == nil && e.Kind != "" {
			a.OnEvent(e)
		}
	}
	_, _ = io.Copy(io.Discard, out)
}
