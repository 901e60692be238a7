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
	Name    string
	Args    []string
	Env     []string
	Talks   bool            // its standard input stays open for commands
	Read    func(io.Reader) // reads its standard output until its end; nil: discarded
	ReadErr func(io.Reader) // the same of its standard error; nil: the rig's own
	Sockets int             // bound on its descriptors; 0: none
}

// Running is a process that runs.
type Running struct {
	cmd    *exec.Cmd
	in     io.WriteCloser
	ended  chan struct{} // closed when it has been reaped and its output read
	killed bool          // by the rig, or told to end
}

// Set starts and ends the processes of a run. Each dies with the one that has started it.
type Set struct {
	tell    func(history.Event)
	starter *spawn.Starter

	mu    sync.Mutex
	all   map[string]*Running
	count int
	done  bool
}

// New returns a set without processes; tell gets the events of their lives.
func New(tell func(history.Event)) *Set {
	return &Set{tell: tell, starter: spawn.New(), all: map[string]*Running{}}
}

var errNotThere = errors.New("no such process")

// Start starts a process. One of its name must not run.
func (p *Set) Start(x Spec) error {
	if len(x.Args) == 0 {
		return fmt.Errorf("%s: no program", x.Name)
	}
	a := &Running{ended: make(chan struct{})}
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
	if x.ReadErr != nil {
		a.cmd.Stderr = nil
	}
	err := errors.Join(pipe(a.cmd.StdoutPipe, x.Read), pipe(a.cmd.StderrPipe, x.ReadErr))
	if x.Talks && err == nil {
		a.in, err = a.cmd.StdinPipe()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", x.Name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return fmt.Errorf("%s: the run is over", x.Name)
	}
	if p.all[x.Name] != nil {
		return fmt.Errorf("%s runs already", x.Name)
	}
	if err := p.starter.Start(a.cmd); err != nil {
		return fmt.Errorf("%s: %w", x.Name, err)
	}
	pid := a.cmd.Process.Pid
	if x.Sockets > 0 {
		bound := unix.Rlimit{Cur: uint64(x.Sockets), Max: uint64(x.Sockets)}
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &bound, nil); err != nil {
			p.tell(history.Event{Kind: history.Log, Who: x.Name, Why: "no bound on descriptors: " + err.Error()})
		}
	}
	p.all[x.Name] = a
	p.count++
	p.tell(history.Event{Kind: history.Started, Who: x.Name, N: int64(pid)})
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
		if !a.killed {
			why = "by itself: " + why
		}
		delete(p.all, x.Name)
		p.mu.Unlock()
		p.tell(history.Event{Kind: history.Gone, Who: x.Name, Why: why})
		close(a.ended)
	}()
	return nil
}

func (p *Set) get(name string) *Running {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all[name]
}

// PID is the process's id; 0 where it does not run.
func (p *Set) PID(name string) int {
	if a := p.get(name); a != nil {
		return a.cmd.Process.Pid
	}
	return 0
}

// Write writes a line to a process's standard input.
func (p *Set) Write(name string, line []byte) error {
	a := p.get(name)
	if a == nil || a.in == nil {
		return fmt.Errorf("%s: %w", name, errNotThere)
	}
	_, err := a.in.Write(append(line, '\n'))
	return err
}

// Say gives a process a command.
func (p *Set) Say(name string, command any) error {
	line, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return p.Write(name, line)
}

// signal sends a signal. A process that is gone gets none.
func (p *Set) signal(name string, s syscall.Signal, ends bool) *Running {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.all[name]
	if a == nil {
		return nil
	}
	if ends {
		a.killed = true
	}
	_ = a.cmd.Process.Signal(s) // it may have ended just now; os.Process never signals another's id
	return a
}

// Kill kills a process and waits until it is gone.
func (p *Set) Kill(name string) {
	if p.get(name) != nil {
		p.tell(history.Event{Kind: history.Told, Who: name, Why: "killed"}) // before anybody can feel it
	}
	if a := p.signal(name, syscall.SIGKILL, true); a != nil {
		<-a.ended
	}
}

// Stop stops a process (SIGSTOP).
func (p *Set) Stop(name string) {
	if p.signal(name, syscall.SIGSTOP, false) != nil {
		p.tell(history.Event{Kind: history.Stopped, Who: name})
	}
}

// Continue lets a stopped process go on.
func (p *Set) Continue(name string) {
	if p.signal(name, syscall.SIGCONT, false) != nil {
		p.tell(history.Event{Kind: history.Continued, Who: name})
	}
}

// Terminate tells processes to end, and waits for that, no longer than a time; 0: it does not wait.
func (p *Set) Terminate(names []string, within time.Duration) error {
	var told []*Running
	for _, n := range names {
		p.tell(history.Event{Kind: history.Told, Who: n})
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
		case <-a.ended:
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

// End kills what is left, and returns how many of the processes that were ever started are still there after that.
func (p *Set) End() (left int) {
	p.mu.Lock()
	p.done = true
	var all []*Running
	for _, a := range p.all {
		a.killed = true
		_ = a.cmd.Process.Kill()
		all = append(all, a)
	}
	p.mu.Unlock()
	for _, a := range all {
		<-a.ended
	}
	p.starter.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all)
}

// Resident is what a process holds in memory, in bytes; 0 where that can't be read.
func Resident(pid int) int64 {
	return kilobytes(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
}

// Waited is how long all threads of a process have been ready to run and waited for a core; 0 where that can't be read.
func Waited(pid int) (sum time.Duration) {
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

// Available is the machine's memory that is free for processes, in bytes; 0 where that can't be read.
func Available() int64 { return kilobytes("/proc/meminfo", "MemAvailable:") }

func kilobytes(file, field string) int64 {
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
