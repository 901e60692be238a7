package harness_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernlanding/internal/harness"
	"fernlanding/internal/harness/harnesstest"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
)

// runHarness runs the scenario in a file as a process of its own.
func runHarness(program, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	spec, err := scenario.Read(file, data)
	if err != nil {
		return err
	}
	opts := options(program)
	opts.Out = os.Stdout
	opts.Dir = filepath.Dir(file)
	return harness.Run(context.Background(), spec, opts)
}

// No process that the harness has started outlives it, whenever it is killed.
func TestNoProcessOutlivesKilledHarness(t *testing.T) {
	const ms = time.Millisecond
	for i, delay := range []time.Duration{30 * ms, 150 * ms, 400 * ms, 900 * ms} {
		dir := t.TempDir()
		file := filepath.Join(dir, "scenario.toml")
		text := strings.Replace(smallScenario, `for = "1500ms"`, `for = "30s"`, 1)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(harnesstest.Self(), file)
		cmd.Env = append(os.Environ(), roleVar+"=rig", programVar+"="+program)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		killed := time.AfterFunc(delay, func() { _ = cmd.Process.Kill() })
		_, _ = io.Copy(io.Discard, out) // ends when no process holds the pipe: workers write to pipes of their own
		_ = cmd.Wait()
		killed.Stop()
		deadline := time.Now().Add(20 * time.Second)
		for {
			left := processesMentioning(t, dir)
			if len(left) == 0 {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("kill %d: left behind: %v", i, left)
			}
			time.Sleep(5 * ms) // nothing announces the exit of another process's children
		}
	}
}

// processesMentioning returns the ids of the processes whose arguments contain a text.
func processesMentioning(t *testing.T, text string) []string {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, file := range files {
		data, err := os.ReadFile(file) // fails where the process has exited since
		if err == nil && bytes.Contains(data, []byte(text)) {
			ids = append(ids, filepath.Base(filepath.Dir(file)))
		}
	}
	return ids
}

// A run whose context is done ends its processes, and records that.
func TestContextEndsRun(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer stop()
	var log bytes.Buffer
	opts := options(program)
	opts.Out = &log
	spec := decode(t, strings.Replace(smallScenario, `for = "1500ms"`, `for = "30s"`, 1))
	if err := harness.Run(ctx, spec, opts); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v", err)
	}
	events, err := history.Read(&log)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range events {
		if e.Kind == history.Started && syscall.Kill(int(e.N), 0) == nil {
			t.Errorf("%s, process %d, is still there", e.Who, e.N)
		}
	}
	if last := events[len(events)-1]; last.Kind != history.RunEnded || last.N != 0 {
		t.Errorf("last event %+v", last)
	}
}
