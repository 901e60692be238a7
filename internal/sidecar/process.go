package sidecar

import (
	"fernlanding/internal/config"
	"math"
	"runtime"
	"runtime/debug"
)

const (
	memoryPart = 0.6 // of the limit: the runtime collects harder from there on
	roomyMB    = 64  // of memory, from which on an application's sidecar collects less often
	roomyGC    = 400 // percent of what lives, before the next collection
)

// ApplyRuntimeLimits has the runtime heed what the process may use. It concerns the whole process and is for its main package.
func ApplyRuntimeLimits(app *config.App) {
	p := app.Process
	if p.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(p.MemoryMB * memoryPart * (1 << 20)))
	}
	if p.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(p.Cores)))
	}
	// What lives is a few MB: with the usual 100% a busy sidecar collects a hundred times a second.
	if app.Kind == config.Application && (p.MemoryMB == 0 || p.MemoryMB >= roomyMB) {
		debug.SetGCPercent(roomyGC)
	}
}
