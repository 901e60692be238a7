package sidecar

import (
	"math"
	"runtime"
	"runtime/debug"

	"fernlanding/internal/config"
)

const (
	memoryLimitFraction = 0.6 // of the process's limit: the runtime collects harder from there on
	relaxedGCMinMB      = 64  // of memory, from which on an application's sidecar collects less often
	relaxedGCPercent    = 400 // of the live heap, before the next collection
)

// ApplyRuntimeLimits sets the Go runtime's limits to what the process may use. It affects the whole
// process and is for its main package.
func ApplyRuntimeLimits(app *config.App) {
	process := app.Process
	if process.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(process.MemoryMB * memoryLimitFraction * (1 << 20)))
	}
	if process.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(process.Cores)))
	}
	// The live heap is a few MB: with the usual 100% a busy sidecar collects a hundred times a
	// second.
	if app.Kind == config.Application && (process.MemoryMB == 0 || process.MemoryMB >= relaxedGCMinMB) {
		debug.SetGCPercent(relaxedGCPercent)
	}
}
