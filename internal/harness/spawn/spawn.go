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
	begin chan func()
	over  chan struct{}
}

// New returns a Starter. Close ends it.
func New() *Starter {
	s := &Starter{begin: make(chan func()), over: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with this goroutine
		defer close(s.over)
		for f := range s.begin {
			f()
		}
	}()
	return s
}

// Start starts a command. It must not be called after Close.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	s.begin <- func() { started <- cmd.Start() }
	return <-started
}

// Close ends the thread, and with it whatever it has started and still runs.
func (s *Starter) Close() {
	close(s.begin)
	<-s.over
}
