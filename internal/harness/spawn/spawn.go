// Package spawn starts processes that the kernel kills when their parent process ends, whatever
// ends it.
package spawn

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes. The kernel kills each process when the thread that started it exits
// (PR_SET_PDEATHSIG), so one thread starts all of them and lives until Close. Start may be called
// from any goroutine.
type Starter struct {
	commands chan func()
	done     chan struct{} // closed when the thread is about to exit
}

// New returns a Starter, whose thread Close ends.
func New() *Starter {
	s := &Starter{commands: make(chan func()), done: make(chan struct{})}
	go s.run()
	return s
}

// run executes commands on one thread until Close.
func (s *Starter) run() {
	// The thread is never unlocked, so that it exits with this goroutine.
	runtime.LockOSThread()
	defer close(s.done)
	for command := range s.commands {
		command()
	}
}

// Start starts a command. It must not be called after Close.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	s.commands <- func() { started <- cmd.Start() }
	return <-started
}

// Close ends the thread, and with it every process that it started and that still runs.
func (s *Starter) Close() {
	close(s.commands)
	<-s.done
}
