package sidecar

import (
	"math"
	"runtime"
	"runtime/debug"

	"fernlanding/internal/config"
)

const (
	relaxedGCMinMB   = 64  // memory limit from which an application's sidecar collects garbage less often
	relaxedGCPercent = 400 // heap growth before the next collection, in percent of the live heap
)

// ApplyRuntimeLimits sets the limits of the Go runtime by the process limits of a configuration. It
// affects the whole process and is meant for main packages.
func ApplyRuntimeLimits(app *config.App) {
	process := app.Process
	if process.MemoryMB > 0 {
		debug.SetMemoryLimit(app.GarbageLimit())
	}
	if process.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(process.Cores)))
	}
	// The live heap is a few MB, so with the default of 100% a busy sidecar collects garbage a
	// hundred times a second.
	if app.Kind == config.Application && (process.MemoryMB == 0 || process.MemoryMB >= relaxedGCMinMB) {
		debug.SetGCPercent(relaxedGCPercent)
	}
}
