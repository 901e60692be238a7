package config

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"time"
)

const (
	defaultSockets = 1024
	defaultListAge = 10 * time.Minute
	maxListAge     = 24 * time.Hour
)

// process reads what the process may use, and the folder that outlives it.
func (x *decoder) process(s tomldoc.Scope) {
	app, p := x.app, s.Sub("process")
	app.Process = Process{
		Cores: p.Number("cores", 0, 0, 1024), MemoryMB: p.Number("memory_mb", 0, 0, 1<<20),
		Sockets: int(p.Whole("sockets", defaultSockets, 1, 1<<24)),
	}
	if app.StateDir = p.Text("state_dir", ""); p.Has("state_dir") && app.StateDir == "" {
		p.Bad(rules.Missing, "state_dir", "a folder expected")
	}
	if app.ListAge = p.Span("list_age", defaultListAge, 0, maxListAge); p.Has("list_age") && app.StateDir == "" {
		p.Bad(rules.Missing, "list_age", "state_dir, the folder that lists are kept in, expected beside it")
	}
	p.Done()
}
