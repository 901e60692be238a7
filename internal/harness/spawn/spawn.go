// Package spawn starts processes that end with the one that has started them, however that ends.
package spawn

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes. The kernel kills each when the thread that has started it goes (PR_SET_PDEATHSIG), so one thread
// starts them all and stays until Close.
type Starter struct {
	commands chan func()
	done     chan struct{}
}

// New returns a Starter. Close ends it.
func New() *Starter {
	s := &Starter{commands: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with this goroutine
		defer close(s.done)
		for f := range s.commands {
			f()
		}
	}()
	return s
}

// Start starts a command. It must not be called after Close.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	s.commands <- func() { started <- cmd.Start() }
	return <-started
}

// Close ends the thread, and with it whatever it has started and still runs.
func (s *Starter) Close() {
	close(s.commands)
	<-s.done
}
