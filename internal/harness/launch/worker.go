package launch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/process"
	"fernlanding/internal/harness/worker"
)

const (
	initialLineBytes = 1 << 16 // of the buffer for a worker's line
	maxLineBytes     = 4 << 20 // of a worker's line
)

// WorkerStarter starts worker processes.
type WorkerStarter struct {
	Processes *process.Set
	Program   []string // command line of a worker
	Env       []string // added to its environment
	Clock     history.Clock
	// OnEvent receives each event that a worker reports. It is called on one goroutine for each
	// worker.
	OnEvent func(history.Event)
}

// Start starts a worker and returns its first line of output. It waits for the line until ctx is
// done.
func (s WorkerStarter) Start(ctx context.Context, spec worker.Spec) (worker.Hello, error) {
	spec.ClockZero = s.Clock.Zero()
	specLine, err := json.Marshal(spec)
	if err != nil {
		return worker.Hello{}, err
	}
	helloLine := make(chan []byte, 1)
	err = s.Processes.Start(process.Spec{
		Name:       spec.Name,
		Args:       s.Program,
		Env:        s.Env,
		Stdin:      true,
		ReadStdout: func(stdout io.Reader) { s.readOutput(stdout, helloLine) },
	})
	if err != nil {
		return worker.Hello{}, err
	}
	if err := s.Processes.WriteLine(spec.Name, specLine); err != nil {
		return worker.Hello{}, err
	}
	select {
	case line, ok := <-helloLine:
		if !ok {
			return worker.Hello{}, fmt.Errorf("%s has ended at its start", spec.Name)
		}
		var hello worker.Hello
		if err := json.Unmarshal(line, &hello); err != nil {
			return worker.Hello{}, fmt.Errorf("%s: its first line: %w", spec.Name, err)
		}
		return hello, nil
	case <-ctx.Done():
		return worker.Hello{}, fmt.Errorf("%s does not start: %w", spec.Name, ctx.Err())
	}
}

// readOutput reads a worker's output to its end. The first line goes to helloLine, which is closed
// after it; the others are events.
func (s WorkerStarter) readOutput(stdout io.Reader, helloLine chan<- []byte) {
	lines := bufio.NewScanner(stdout)
	lines.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	if lines.Scan() {
		helloLine <- bytes.Clone(lines.Bytes())
	}
	close(helloLine)
	for lines.Scan() {
		var e history.Event
		// A worker that is killed leaves part of a line behind.
		if json.Unmarshal(lines.Bytes(), &e) == nil && e.Kind != "" {
			s.OnEvent(e)
		}
	}
	// The scanner stops at a line beyond its bound. The rest is read so that the worker does not
	// block.
	_, _ = io.Copy(io.Discard, stdout)
}
