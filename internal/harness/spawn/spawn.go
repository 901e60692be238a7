// Package spawn starts processes that the kernel kills when their parent process exits for any
// reason.
package spawn

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes. The kernel kills each process when the thread that started the process
// exits (PR_SET_PDEATHSIG). Therefore, one thread starts all processes and runs until Close. Start
// may be called from any goroutine.
type Starter struct {
	commands chan func()
	done     chan struct{} // closed when run returns
}

// New returns a Starter. The caller has to call Close to end the Starter's thread.
func New() *Starter {
	s := &Starter{commands: make(chan func()), done: make(chan struct{})}
	go s.run()
	return s
}

// run calls the functions in commands on one thread until Close.
func (s *Starter) run() {
	// The thread is never unlocked, so that it exits with this goroutine.
	runtime.LockOSThread()
	defer close(s.done)
	for command := range s.commands {
		command()
	}
}

// Start starts a process. It must not be called after Close.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	s.commands <- func() { started <- cmd.Start() }
	return <-started
}

// Close ends the thread, so that the kernel kills every process that is still running.
func (s *Starter) Close() {
	close(s.commands)
	<-s.done
}
