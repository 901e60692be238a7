package main

import "golang.org/x/sys/unix"

// forkCalls returns the system calls that start a process and exist on this architecture only.
func forkCalls() []uint32 {
	return []uint32{unix.SYS_FORK, unix.SYS_VFORK}
}
