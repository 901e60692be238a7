package rig

import (
	"io"

	"fernlanding/internal/rig/history"
)

// Group starts processes that die with the one that started them, for tools beside the rig.
type Group struct{ all *processes }

// NewGroup returns a group of no process. tell takes what happens to each; it may be called on any goroutine.
func NewGroup(tell func(history.Event)) *Group { return &Group{newProcesses(tell)} }

// Start starts a process. Where stdout is given it reads the process's standard output until its end, and the standard
// input stays open for Say.
func (g *Group) Start(name string, args []string, stdout func(io.Reader)) error {
	return g.all.start(process{name: name, args: args, talks: stdout != nil, read: stdout})
}

// Say writes a value to a process's standard input, as one line of JSON.
func (g *Group) Say(name string, value any) error { return g.all.say(name, value) }

// PID is a process's id; 0 where it does not run.
func (g *Group) PID(name string) int { return g.all.pid(name) }

// Kill kills a process and waits until it is gone.
func (g *Group) Kill(name string) { g.all.kill(name) }

// End kills all processes and waits until they are gone.
func (g *Group) End() { g.all.end() }
