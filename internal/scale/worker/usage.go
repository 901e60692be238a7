package worker

import (
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"

	"fernlanding/internal/scale/hollow"
)

// Metrics of package runtime/metrics: allocations since the start of the process.
const (
	allocatedBytes   = "/gc/heap/allocs:bytes"
	allocatedObjects = "/gc/heap/allocs:objects"
)

// measureUsage returns the resource usage of this process since its start, with the given traffic.
func measureUsage(traffic hollow.Traffic) Usage {
	allocations := []metrics.Sample{{Name: allocatedBytes}, {Name: allocatedObjects}}
	metrics.Read(allocations)
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used) // fails only for invalid arguments
	cpu := time.Duration(used.Utime.Nano() + used.Stime.Nano())
	return Usage{
		At:             hollow.MonotonicNow(),
		CPUSeconds:     cpu.Seconds(),
		AllocatedBytes: int64(allocations[0].Value.Uint64()),
		Allocations:    int64(allocations[1].Value.Uint64()),
		Traffic:        traffic,
	}
}

// measureState returns the live heap and the goroutines of this process after a garbage collection.
func measureState() State {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return State{HeapBytes: int64(m.HeapAlloc), Goroutines: runtime.NumGoroutine()}
}
