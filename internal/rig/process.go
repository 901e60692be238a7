package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fernlanding/internal/rig/history"
	"fernlanding/internal/rig/spawn"
)

// process is what a process is started from.
type process struct {
	name    string
	args    []string
	env     []string
	talks   bool            // its standard input stays open for commands
	read    func(io.Reader) // reads its standard output until its end; nil: discarded
	readErr func(io.Reader) // the same of its standard error; nil: the rig's own
	sockets int             // bound on its descriptors; 0: none
}

// alive is a process that runs.
type alive struct {
	cmd    *exec.Cmd
	in     io.WriteCloser
	ended  chan struct{} // closed when it has been reaped and its output read
	killed bool          // by the rig, or told to end
}

// processes starts and ends the processes of a run. Each dies with the rig.
type processes struct {
	tell    func(history.Event)
	starter *spawn.Starter

	mu    sync.Mutex
	all   map[string]*alive
	count int
	done  bool
}

func newProcesses(tell func(history.Event)) *processes {
	return &processes{tell: tell, starter: spawn.New(), all: map[string]*alive{}}
}

var errNotThere = errors.New("no such process")

// start starts a process. One of its name must not run.
func (p *processes) start(x process) error {
	if len(x.args) == 0 {
		return fmt.Errorf("%s: no program", x.name)
	}
	a := &alive{ended: make(chan struct{})}
	a.cmd = exec.Command(x.args[0], x.args[1:]...)
	a.cmd.Env = append(os.Environ(), x.env...)
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
	if x.readErr != nil {
		a.cmd.Stderr = nil
	}
	err := errors.Join(pipe(a.cmd.StdoutPipe, x.read), pipe(a.cmd.StderrPipe, x.readErr))
	if x.talks && err == nil {
		a.in, err = a.cmd.StdinPipe()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", x.name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return fmt.Errorf("%s: the run is over", x.name)
	}
	if p.all[x.name] != nil {
		return fmt.Errorf("%s runs already", x.name)
	}
	if err := p.starter.Start(a.cmd); err != nil {
		return fmt.Errorf("%s: %w", x.name, err)
	}
	pid := a.cmd.Process.Pid
	if x.sockets > 0 {
		bound := unix.Rlimit{Cur: uint64(x.sockets), Max: uint64(x.sockets)}
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &bound, nil); err != nil {
			p.tell(history.Event{Kind: history.Log, Who: x.name, Why: "no bound on descriptors: " + err.Error()})
		}
	}
	p.all[x.name] = a
	p.count++
	p.tell(history.Event{Kind: history.Started, Who: x.name, N: int64(pid)})
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
		delete(p.all, x.name)
		p.mu.Unlock()
		p.tell(history.Event{Kind: history.Gone, Who: x.name, Why: why})
		close(a.ended)
	}()
	return nil
}

func (p *processes) get(name string) *alive {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all[name]
}

// pid is the process's id; 0 where it does not run.
func (p *processes) pid(name string) int {
	if a := p.get(name); a != nil {
		return a.cmd.Process.Pid
	}
	return 0
}

// write writes a line to a process's standard input.
func (p *processes) write(name string, line []byte) error {
	a := p.get(name)
	if a == nil || a.in == nil {
		return fmt.Errorf("%s: %w", name, errNotThere)
	}
	_, err := a.in.Write(append(line, '\n'))
	return err
}

// say gives a process a command.
func (p *processes) say(name string, command any) error {
	line, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return p.write(name, line)
}

// signal sends a signal. A process that is gone gets none.
func (p *processes) signal(name string, s syscall.Signal, ends bool) *alive {
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

// kill kills a process and waits until it is gone.
func (p *processes) kill(name string) {
	if p.get(name) != nil {
		p.tell(history.Event{Kind: history.Told, Who: name, Why: "killed"}) // before anybody can feel it
	}
	if a := p.signal(name, syscall.SIGKILL, true); a != nil {
		<-a.ended
	}
}

func (p *processes) stop(name string) {
	if p.signal(name, syscall.SIGSTOP, false) != nil {
		p.tell(history.Event{Kind: history.Stopped, Who: name})
	}
}

func (p *processes) cont(name string) {
	if p.signal(name, syscall.SIGCONT, false) != nil {
		p.tell(history.Event{Kind: history.Continued, Who: name})
	}
}

// terminate tells processes to end, and waits for that, no longer than a time; 0: it does not wait.
func (p *processes) terminate(names []string, within time.Duration) error {
	var told []*alive
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
		return fmt.Errorf("rig: %d of %d sidecars have not ended %v after SIGTERM", left, len(told), within)
	}
	return nil
}

// end kills what is left, and returns how many of the processes that were ever started are still there after that.
func (p *processes) end() (left int) {
	p.mu.Lock()
	p.done = true
	var all []*alive
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

// resident is what a process holds in memory, in bytes; 0 where that can't be read.
func resident(pid int) int64 {
	return kilobytes(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
}

// available is the machine's memory that is free for processes, in bytes; 0 where that can't be read.
func available() int64 { return kilobytes("/proc/meminfo", "MemAvailable:") }

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
