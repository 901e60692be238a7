package worker

import (
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"

	"fernlanding/internal/scale/hollow"
)

// The runtime's metrics of allocations since the process's start.
const (
	allocatedBytes   = "/gc/heap/allocs:bytes"
	allocatedObjects = "/gc/heap/allocs:objects"
)

// measureUsage returns what this process has used since its start, with its traffic.
func measureUsage(traffic hollow.Traffic) Usage {
	allocations := []metrics.Sample{{Name: allocatedBytes}, {Name: allocatedObjects}}
	metrics.Read(allocations)
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used) // fails only for other arguments
	cpu := time.Duration(used.Utime.Nano() + used.Stime.Nano())
	return Usage{
		At:             hollow.MonotonicNow(),
		CPUSeconds:     cpu.Seconds(),
		AllocatedBytes: int64(allocations[0].Value.Uint64()),
		Allocations:    int64(allocations[1].Value.Uint64()),
		Traffic:        traffic,
	}
}

// measureState returns what is live in this process after a garbage collection.
func measureState() State {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return State{HeapBytes: int64(m.HeapAlloc), Goroutines: runtime.NumGoroutine()}
}
