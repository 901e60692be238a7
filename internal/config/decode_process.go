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

// process decodes the limits of the process and the directory for data that outlives the process.
func (dec *decoder) process(root tomldoc.Scope) {
	app, scope := dec.app, root.Table("process")
	app.Process = Process{
		Cores:    scope.Float("cores", 0, 0, 1024),
		MemoryMB: scope.Float("memory_mb", 0, 0, 1<<20),
		Sockets:  int(scope.Int("sockets", defaultSockets, 1, 1<<24)),
	}
	app.StateDir = scope.Text("state_dir", "")
	if scope.Has("state_dir") && app.StateDir == "" {
		scope.ReportField(rules.Missing, "state_dir", "must be a directory")
	}
	app.MaxListAge = scope.Duration("list_age", defaultListAge, 0, maxListAge)
	if scope.Has("list_age") && app.StateDir == "" {
		scope.ReportField(rules.Missing, "list_age", "requires state_dir, the directory for cached endpoint lists")
	}
	scope.ReportUnknown()
}
