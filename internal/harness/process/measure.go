package process

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// ResidentBytes returns the resident memory of a process in bytes. It returns 0 if the value cannot
// be read.
func ResidentBytes(pid int) int64 {
	return readKilobytes(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
}

// AvailableBytes returns the memory that the machine has available for processes, in bytes. It
// returns 0 if the value cannot be read.
func AvailableBytes() int64 { return readKilobytes("/proc/meminfo", "MemAvailable:") }

// CPUWait returns the total time for which the threads of a process have been ready to run and
// waited for a core. It returns 0 if the values cannot be read.
func CPUWait(pid int) time.Duration {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // fails only for an invalid pattern
	var sum time.Duration
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has exited
		}
		if fields := strings.Fields(string(data)); len(fields) > 1 {
			waited, _ := strconv.ParseInt(fields[1], 10, 64) // nanoseconds; the kernel always writes a number
			sum += time.Duration(waited)
		}
	}
	return sum
}

// readKilobytes returns the value, in bytes, of a field that a file in /proc gives in kB. It
// returns 0 if the field cannot be read.
func readKilobytes(file, field string) int64 {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			number := strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB"))
			kilobytes, _ := strconv.ParseInt(number, 10, 64) // the kernel always writes a number
			return kilobytes << 10
		}
	}
	return 0
}
