package latency

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// schedTime is the time that threads spent running and waiting to run.
type schedTime struct {
	running time.Duration // time on a core
	waiting time.Duration // time runnable without a core
}

func (t schedTime) plus(o schedTime) schedTime {
	return schedTime{running: t.running + o.running, waiting: t.waiting + o.waiting}
}

func (t schedTime) minus(o schedTime) schedTime {
	return schedTime{running: t.running - o.running, waiting: t.waiting - o.waiting}
}

// sidecarUsage returns the cumulative time of all threads of all sidecars.
func (ch *chain) sidecarUsage() (schedTime, error) {
	var sum schedTime
	for _, p := range ch.children {
		if p.name == backendsName {
			continue
		}
		t, err := processTime(p.command.Process.Pid)
		if err != nil {
			return sum, err
		}
		sum = sum.plus(t)
	}
	return sum, nil
}

// processTime returns the cumulative time of all live threads of a process.
func processTime(pid int) (schedTime, error) {
	var sum schedTime
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return sum, err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue // the thread has ended
		}
		if err != nil {
			return sum, err
		}
		t, err := parseSchedstat(string(data))
		if err != nil {
			return sum, fmt.Errorf("%s: %w", file, err)
		}
		sum = sum.plus(t)
	}
	return sum, nil
}

// parseSchedstat parses the contents of /proc/PID/task/TID/schedstat: nanoseconds on a core,
// nanoseconds waiting for a core, and the number of time slices.
func parseSchedstat(text string) (schedTime, error) {
	var t schedTime
	var slices int64
	if _, err := fmt.Sscan(text, &t.running, &t.waiting, &slices); err != nil {
		return schedTime{}, fmt.Errorf("invalid schedstat %.60q: want three integers", text)
	}
	return t, nil
}
