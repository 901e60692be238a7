// Package process starts, stops, kills and watches the processes of a run of the rig.
package process

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/spawn"

	"golang.org/x/sys/unix"
)

// Spec is what a process is started from.
type Spec struct {
	Name       string
	Args       []string
	Env        []string
	Stdin      bool            // its standard input stays open for commands
	ReadStdout func(io.Reader) // reads its standard output until its end; nil: discarded
	ReadStderr func(io.Reader) // the same of its standard error; nil: the rig's own
	MaxFiles   int             // bound on its descriptors; 0: none
}

// runningProcess is a process that runs.
type runningProcess struct {
	cmd           *exec.Cmd
	stdin         io.WriteCloser
	exited        chan struct{} // closed when it has been reaped and its output read
	exitRequested bool          // by the rig, or told to end
}

// Set starts and ends the processes of a run. Each dies with the one that has started it.
type Set struct {
	record  func(history.Event)
	starter *spawn.Starter

	mu      sync.Mutex
	running map[string]*runningProcess
	started int
	closed  bool
}

// New returns a set without processes; tell gets the events of their lives.
func New(tell func(history.Event)) *Set {
	return &Set{record: tell, starter: spawn.New(), running: map[string]*runningProcess{}}
}

var ErrNotRunning = errors.New("no such process")

// Start starts a process. One of its name must not run.
func (p *Set) Start(x Spec) error {
	if len(x.Args) == 0 {
		return fmt.Errorf("%s: no program", x.Name)
	}
	a := &runningProcess{exited: make(chan struct{})}
	a.cmd = exec.Command(x.Args[0], x.Args[1:]...)
	a.cmd.Env = append(os.Environ(), x.Env...)
	a.cmd.Stderr = os.Stderr
	var readers []func()
	pipe := func(open func() (io.ReadCloser, error), read func(io.Reader)) error {
		if read == nil {
			return nil
		}
		out, err := open()
		if err == nil {
			readers = append(readers, func() { read(out) })
		}
		return err
	}
	if x.ReadStderr != nil {
		a.cmd.Stderr = nil
	}
	err := errors.Join(pipe(a.cmd.StdoutPipe, x.ReadStdout), pipe(a.cmd.StderrPipe, x.ReadStderr))
	if x.Stdin && err == nil {
		a.stdin, err = a.cmd.StdinPipe()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", x.Name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return fmt.Errorf("%s: the run is over", x.Name)
	}
	if p.running[x.Name] != nil {
		return fmt.Errorf("%s runs already", x.Name)
	}
	if err := p.starter.Start(a.cmd); err != nil {
		return fmt.Errorf("%s: %w", x.Name, err)
	}
	pid := a.cmd.Process.Pid
	if x.MaxFiles > 0 {
		bound := unix.Rlimit{Cur: uint64(x.MaxFiles), Max: uint64(x.MaxFiles)}
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &bound, nil); err != nil {
			p.record(history.Event{Kind: history.Log, Who: x.Name, Why: "no bound on descriptors: " + err.Error()})
		}
	}
	p.running[x.Name] = a
	p.started++
	p.record(history.Event{Kind: history.Started, Who: x.Name, N: int64(pid)})
	go func() {
		var all sync.WaitGroup
		for _, r := range readers {
			all.Go(r)
		}
		all.Wait() // the pipes are read to their ends before Wait closes them
		err := a.cmd.Wait()
		why := "ended"
		if err != nil {
			why = err.Error()
		}
		p.mu.Lock()
		if !a.exitRequested {
			why = "by itself: " + why
		}
		delete(p.running, x.Name)
		p.mu.Unlock()
		p.record(history.Event{Kind: history.Exited, Who: x.Name, Why: why})
		close(a.exited)
	}()
	return nil
}

func (p *Set) lookup(name string) *runningProcess {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[name]
}

// PID is the process's id; 0 where it does not run.
func (p *Set) PID(name string) int {
	if a := p.lookup(name); a != nil {
		return a.cmd.Process.Pid
	}
	return 0
}

// WriteLine writes a line to a process's standard input.
func (p *Set) WriteLine(name string, line []byte) error {
	a := p.lookup(name)
	if a == nil || a.stdin == nil {
		return fmt.Errorf("%s: %w", name, ErrNotRunning)
	}
	_, err := a.stdin.Write(append(line, '\n'))
	return err
}

// SendCommand gives a process a command.
func (p *Set) SendCommand(name string, command any) error {
	line, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return p.WriteLine(name, line)
}

// signal sends a signal. A process that is gone gets none.
func (p *Set) signal(name string, s syscall.Signal, ends bool) *runningProcess {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.running[name]
	if a == nil {
		return nil
	}
	if ends {
		a.exitRequested = true
	}
	_ = a.cmd.Process.Signal(s) // it may have ended just now; os.Process never signals another's id
	return a
}

// Kill kills a process and waits until it is gone.
func (p *Set) Kill(name string) {
	if p.lookup(name) != nil {
		p.record(history.Event{Kind: history.Terminating, Who: name, Why: "killed"}) // before anybody can feel it
	}
	if a := p.signal(name, syscall.SIGKILL, true); a != nil {
		<-a.exited
	}
}

// Stop stops a process (SIGSTOP).
func (p *Set) Stop(name string) {
	if p.signal(name, syscall.SIGSTOP, false) != nil {
		p.record(history.Event{Kind: history.Stopped, Who: name})
	}
}

// Continue lets a stopped process go on.
func (p *Set) Continue(name string) {
	if p.signal(name, syscall.SIGCONT, false) != nil {
		p.record(history.Event{Kind: history.Continued, Who: name})
	}
}

// Terminate tells processes to end, and waits for that, no longer than a time; 0: it does not wait.
func (p *Set) Terminate(names []string, within time.Duration) error {
	var told []*runningProcess
	for _, n := range names {
		p.record(history.Event{Kind: history.Terminating, Who: n})
		if a := p.signal(n, syscall.SIGTERM, true); a != nil {
			p.signal(n, syscall.SIGCONT, true) // a stopped one could not hear it
			told = append(told, a)
		}
	}
	if within <= 0 {
		return nil
	}
	late := time.NewTimer(within)
	defer late.Stop()
	left := 0
	for _, a := range told {
		select {
		case <-a.exited:
		case <-late.C:
			late.Reset(0)
			left++
		}
	}
	if left > 0 {
		return fmt.Errorf("%d of %d processes have not ended %v after SIGTERM", left, len(told), within)
	}
	return nil
}

// Close kills what is left, and returns how many of the processes that were ever started are still there after that.
func (p *Set) Close() (left int) {
	p.mu.Lock()
	p.closed = true
	var all []*runningProcess
	for _, a := range p.running {
		a.exitRequested = true
		_ = a.cmd.Process.Kill()
		all = append(all, a)
	}
	p.mu.Unlock()
	for _, a := range all {
		<-a.exited
	}
	p.starter.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.running)
}

// ResidentBytes is what a process holds in memory, in bytes; 0 where that can't be read.
func ResidentBytes(pid int) int64 {
	return readKilobytes(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
}

// CPUWait is how long all threads of a process have been ready to run and waited for a core; 0 where that can't be read.
func CPUWait(pid int) (sum time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is right
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		if fields := strings.Fields(string(data)); len(fields) > 1 {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			sum += time.Duration(n)
		}
	}
	return sum
}

// AvailableBytes is the machine's memory that is free for processes, in bytes; 0 where that can't be read.
func AvailableBytes() int64 { return readKilobytes("/proc/meminfo", "MemAvailable:") }

func readKilobytes(file, field string) int64 {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return n << 10
		}
	}
	return 0
}
