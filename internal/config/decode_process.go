package config

import (
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

const (
	defaultSockets = 1024
	defaultListAge = 10 * time.Minute
	maxListAge     = 24 * time.Hour
)

// process decodes what the process may use, and the directory that outlives it.
func (dec *decoder) process(root tomldoc.Scope) {
	app, scope := dec.app, root.Table("process")
	app.Process = Process{
		Cores:    scope.Float("cores", 0, 0, 1024),
		MemoryMB: scope.Float("memory_mb", 0, 0, 1<<20),
		Sockets:  int(scope.Int("sockets", defaultSockets, 1, 1<<24)),
	}
	app.StateDir = scope.Text("state_dir", "")
	if scope.Has("state_dir") && app.StateDir == "" {
		scope.ReportField(rules.Missing, "state_dir", "a folder expected")
	}
	app.MaxListAge = scope.Duration("list_age", defaultListAge, 0, maxListAge)
	if scope.Has("list_age") && app.StateDir == "" {
		scope.ReportField(rules.Missing, "list_age", "state_dir, the folder that lists are kept in, expected beside it")
	}
	scope.ReportUnknown()
}
