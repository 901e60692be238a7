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
	initialLineBytes = 1 << 16 // initial size of the buffer for a line of a worker's output
	maxLineBytes     = 4 << 20 // largest line of a worker's output
)

// WorkerStarter starts worker processes.
type WorkerStarter struct {
	Processes *process.Set
	Program   []string // command line of a worker
	Env       []string // additional environment of a worker
	Clock     history.Clock
	// OnEvent receives each event that a worker reports. The events of one worker arrive on one
	// goroutine; events of different workers may arrive concurrently.
	OnEvent func(history.Event)
}

// Start starts a worker and returns its first line of output. It waits for that line until ctx is
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
			return worker.Hello{}, fmt.Errorf("%s: exited before its first line of output", spec.Name)
		}
		var hello worker.Hello
		if err := json.Unmarshal(line, &hello); err != nil {
			return worker.Hello{}, fmt.Errorf("%s: invalid first line of output: %w", spec.Name, err)
		}
		return hello, nil
	case <-ctx.Done():
		return worker.Hello{}, fmt.Errorf("%s: no output after the start: %w", spec.Name, ctx.Err())
	}
}

// readOutput reads a worker's output to its end. It sends the first line to helloLine, closes
// helloLine, and passes the events in the other lines to OnEvent.
func (s WorkerStarter) readOutput(stdout io.Reader, helloLine chan<- []byte) {
	lines := bufio.NewScanner(stdout)
	lines.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	if lines.Scan() {
		helloLine <- bytes.Clone(lines.Bytes())
	}
	close(helloLine)
	for lines.Scan() {
		var e history.Event
		// The last line of a worker that was killed may be incomplete.
		if json.Unmarshal(lines.Bytes(), &e) == nil && e.Kind != "" {
			s.OnEvent(e)
		}
	}
	// The scanner stops at a line that exceeds maxLineBytes. The rest of the output is discarded so
	// that the worker does not block on a full pipe.
	_, _ = io.Copy(io.Discard, stdout)
}
