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

// cpuSeconds returns the CPU time that a process has used: that of its live threads, which for a Go
// program are nearly all that it ever had.
func cpuSeconds(pid int) (float64, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return 0, errors.Join(err, fmt.Errorf("process %d: %w", pid, fs.ErrNotExist))
	}
	total := 0.0
	for _, file := range threads {
		data, err := os.ReadFile(file)
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue // ended meanwhile
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

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	return kilobytes(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
}

// machineBytes returns the machine's memory.
func machineBytes() (int64, error) { return kilobytes("/proc/meminfo", "MemTotal:") }

// kilobytes reads a field in kB of a file of /proc, and returns it in bytes.
func kilobytes(file, field string) (int64, error) {
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
	return 0, fmt.Errorf("%s: no field %s", file, field)
}

// loadAverage returns the machine's load average over the last minute; 0 where it cannot be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// descriptors returns how many file descriptors a process may have open.
func descriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("bound on descriptors: %w", err)
	}
	return int(min(limit.Cur, 1<<30)), nil
}
