// Package process starts, stops, kills and measures the processes of a run of the harness.
package process

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/spawn"

	"golang.org/x/sys/unix"
)

// Spec describes a process to start.
type Spec struct {
	Name string
	Args []string // program and its arguments
	Env  []string // variables added to the harness's environment
	// Stdin keeps the process's standard input open for WriteLine.
	Stdin bool
	// ReadStdout reads the standard output until its end; nil means that the output is discarded.
	ReadStdout func(io.Reader)
	// ReadStderr reads the standard error until its end. If ReadStderr is nil, the process inherits
	// the harness's standard error.
	ReadStderr func(io.Reader)
	// MaxFiles is the largest number of file descriptors of the process; 0 means no limit.
	MaxFiles int
}

// Errors of Set. They are returned wrapped, with the process's name.
var (
	ErrNoProgram      = errors.New("missing program")
	ErrNotRunning     = errors.New("process is not running")
	ErrAlreadyRunning = errors.New("process is already running")
	ErrClosed         = errors.New("run has ended")
)

// TimeoutError is the error for processes that have not exited in time after SIGTERM.
type TimeoutError struct {
	Left  int // processes that are still running
	Total int // processes that were sent SIGTERM
	After time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%d of %d processes still running %v after SIGTERM", e.Left, e.Total, e.After)
}

// runningProcess is a process that has been started and not yet been reaped.
type runningProcess struct {
	cmd     *exec.Cmd
	stdin   io.WriteCloser
	readers []func()      // functions that read the process's pipes, each until the pipe's end
	exited  chan struct{} // closed when the process has been reaped and its output has been read

	exitRequested bool // the harness killed or terminated the process; guarded by Set.mu
}

// Set starts and ends the processes of a run. The kernel kills every process of the set when the
// harness's own process exits. The methods may be called from any goroutine.
type Set struct {
	record  func(history.Event)
	starter *spawn.Starter

	mu      sync.Mutex
	running map[string]*runningProcess // by name; guarded by mu
	closed  bool                       // guarded by mu
}

// New returns a set without processes. record receives the lifecycle events of the processes.
func New(record func(history.Event)) *Set {
	return &Set{record: record, starter: spawn.New(), running: map[string]*runningProcess{}}
}

// Start starts a process. It returns ErrAlreadyRunning if a process with the same name is running.
func (s *Set) Start(spec Spec) error {
	p, err := prepare(spec)
	if err != nil {
		return fmt.Errorf("%s: %w", spec.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return fmt.Errorf("%s: %w", spec.Name, ErrClosed)
	}
	if s.running[spec.Name] != nil {
		return fmt.Errorf("%s: %w", spec.Name, ErrAlreadyRunning)
	}
	if err := s.starter.Start(p.cmd); err != nil {
		return fmt.Errorf("%s: %w", spec.Name, err)
	}
	pid := p.cmd.Process.Pid
	if spec.MaxFiles > 0 {
		s.limitFiles(spec.Name, pid, uint64(spec.MaxFiles))
	}
	s.running[spec.Name] = p
	s.record(history.Event{Kind: history.Started, Who: spec.Name, N: int64(pid)})
	go s.wait(spec.Name, p)
	return nil
}

// prepare returns a process that is ready to start. Its pipes are open.
func prepare(spec Spec) (*runningProcess, error) {
	if len(spec.Args) == 0 {
		return nil, ErrNoProgram
	}
	cmd := exec.Command(spec.Args[0], spec.Args[1:]...)
	cmd.Env = append(os.Environ(), spec.Env...)
	p := &runningProcess{cmd: cmd, exited: make(chan struct{})}
	if spec.ReadStdout != nil {
		stdout, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		p.readers = append(p.readers, func() { spec.ReadStdout(stdout) })
	}
	if spec.ReadStderr != nil {
		stderr, err := cmd.StderrPipe()
		if err != nil {
			return nil, err
		}
		p.readers = append(p.readers, func() { spec.ReadStderr(stderr) })
	} else {
		cmd.Stderr = os.Stderr
	}
	if spec.Stdin {
		stdin, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		p.stdin = stdin
	}
	return p, nil
}

// limitFiles limits the number of file descriptors of a process that has just been started.
func (s *Set) limitFiles(name string, pid int, maxFiles uint64) {
	limit := unix.Rlimit{Cur: maxFiles, Max: maxFiles}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		s.record(history.Event{Kind: history.Log, Who: name, Reason: "no bound on descriptors: " + err.Error()})
	}
}

// wait reads a process's output to its end, reaps the process, and records its exit.
func (s *Set) wait(name string, p *runningProcess) {
	var reading sync.WaitGroup
	for _, read := range p.readers {
		reading.Go(read)
	}
	reading.Wait() // cmd.Wait closes the pipes, so they are read to their ends first
	reason := "ended"
	if err := p.cmd.Wait(); err != nil {
		reason = err.Error()
	}
	s.mu.Lock()
	if !p.exitRequested {
		reason = "by itself: " + reason // package check tests for this prefix
	}
	delete(s.running, name)
	s.mu.Unlock()
	s.record(history.Event{Kind: history.Exited, Who: name, Reason: reason})
	close(p.exited)
}

// lookup returns the running process with a name, or nil if there is none.
func (s *Set) lookup(name string) *runningProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[name]
}

// PID returns the ID of the named process, or 0 if the process is not running.
func (s *Set) PID(name string) int {
	if p := s.lookup(name); p != nil {
		return p.cmd.Process.Pid
	}
	return 0
}

// WriteLine writes a line to a process's standard input. The error wraps ErrNotRunning if the
// process is not running or has no open input.
func (s *Set) WriteLine(name string, line []byte) error {
	p := s.lookup(name)
	if p == nil || p.stdin == nil {
		return fmt.Errorf("%s: %w", name, ErrNotRunning)
	}
	_, err := p.stdin.Write(append(line, '\n'))
	return err
}

// SendCommand writes a command to a process's standard input, as a line of JSON.
func (s *Set) SendCommand(name string, command any) error {
	line, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return s.WriteLine(name, line)
}

// signal sends a signal to the named process and returns the process, or nil if it is not running.
// If endsProcess is set, the exit that follows counts as requested.
func (s *Set) signal(name string, signal syscall.Signal, endsProcess bool) *runningProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.running[name]
	if p == nil {
		return nil
	}
	if endsProcess {
		p.exitRequested = true
	}
	// The process may just have exited. os.Process never signals another process with the same ID.
	_ = p.cmd.Process.Signal(signal)
	return p
}

// Kill kills a process (SIGKILL) and waits until it has been reaped.
func (s *Set) Kill(name string) {
	if s.lookup(name) != nil {
		// The event is recorded before the signal is sent, so that it precedes all effects.
		s.record(history.Event{Kind: history.Terminating, Who: name, Reason: "killed"})
	}
	if p := s.signal(name, syscall.SIGKILL, true); p != nil {
		<-p.exited
	}
}

// Stop stops a process (SIGSTOP).
func (s *Set) Stop(name string) {
	if s.signal(name, syscall.SIGSTOP, false) != nil {
		s.record(history.Event{Kind: history.Stopped, Who: name})
	}
}

// Continue continues a stopped process (SIGCONT).
func (s *Set) Continue(name string) {
	if s.signal(name, syscall.SIGCONT, false) != nil {
		s.record(history.Event{Kind: history.Continued, Who: name})
	}
}

// Terminate sends SIGTERM to the named processes and waits up to timeout until all of them have
// exited. It returns a *TimeoutError if some have not exited. If timeout is 0, it does not wait.
func (s *Set) Terminate(names []string, timeout time.Duration) error {
	var terminating []*runningProcess
	for _, name := range names {
		s.record(history.Event{Kind: history.Terminating, Who: name})
		if p := s.signal(name, syscall.SIGTERM, true); p != nil {
			s.signal(name, syscall.SIGCONT, true) // a stopped process does not handle SIGTERM before SIGCONT
			terminating = append(terminating, p)
		}
	}
	if timeout <= 0 {
		return nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	left := 0
	for _, p := range terminating {
		select {
		case <-p.exited:
		case <-timer.C:
			timer.Reset(0)
			left++
		}
	}
	if left > 0 {
		return &TimeoutError{Left: left, Total: len(terminating), After: timeout}
	}
	return nil
}

// Close kills all processes that are still running. It returns the number of processes of the set
// that still exist after that. After Close, Start returns ErrClosed.
func (s *Set) Close() int {
	s.mu.Lock()
	s.closed = true
	var killed []*runningProcess
	for _, p := range s.running {
		p.exitRequested = true
		_ = p.cmd.Process.Kill() // fails only if the process has exited
		killed = append(killed, p)
	}
	s.mu.Unlock()
	for _, p := range killed {
		<-p.exited
	}
	s.starter.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}
