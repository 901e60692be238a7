package sweep

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// cpuSeconds returns the CPU time used by the live threads of a process. A Go program ends few of
// its threads, so that this is nearly the CPU time of the process.
func cpuSeconds(pid int) (float64, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return 0, errors.Join(err, fmt.Errorf("process %d: %w", pid, fs.ErrNotExist))
	}
	total := 0.0
	for _, file := range threads {
		data, err := os.ReadFile(file)
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue // the thread has ended
		}
		if err != nil {
			return 0, err
		}
		first, _, _ := strings.Cut(string(data), " ")
		nanoseconds, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", file, err)
		}
		total += float64(nanoseconds) / 1e9
	}
	return total, nil
}

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(pid int) (int64, error) {
	return procFieldBytes(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
}

// machineMemoryBytes returns the memory of the machine in bytes.
func machineMemoryBytes() (int64, error) { return procFieldBytes("/proc/meminfo", "MemTotal:") }

// procFieldBytes reads a field with the unit kB from a file of /proc and returns its value in bytes.
func procFieldBytes(file, field string) (int64, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, field); found {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			if err != nil {
				return 0, fmt.Errorf("%s: %s: %w", file, field, err)
			}
			return n << 10, nil
		}
	}
	return 0, fmt.Errorf("%s: missing field %s", file, field)
}

// loadAverage returns the 1-minute load average of the machine, or 0 if it cannot be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// maxDescriptors returns the maximum number of open file descriptors of a process.
func maxDescriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("limit of file descriptors: %w", err)
	}
	return int(min(limit.Cur, 1<<30)), nil
}
