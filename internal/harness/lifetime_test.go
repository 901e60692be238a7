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

// runHarness runs the scenario in a file. It is the main function of the test's executable in the
// role of the harness.
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

// No process started by the harness outlives it, whenever the harness is killed.
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
		_, _ = io.Copy(io.Discard, out) // returns when no process holds the pipe; workers write to other pipes
		_ = cmd.Wait()
		killed.Stop()
		deadline := time.Now().Add(20 * time.Second)
		for {
			left := processesMentioning(t, dir)
			if len(left) == 0 {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("kill %d after %v: processes %v still running", i, delay, left)
			}
			time.Sleep(5 * ms) // no event signals the exit of another process's children
		}
	}
}

// processesMentioning returns the IDs of the processes whose arguments contain text.
func processesMentioning(t *testing.T, text string) []string {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, file := range files {
		data, err := os.ReadFile(file) // fails if the process has exited in the meantime
		if err == nil && bytes.Contains(data, []byte(text)) {
			ids = append(ids, filepath.Base(filepath.Dir(file)))
		}
	}
	return ids
}

// A run ends its processes and records its end when its context is done.
func TestContextEndsRun(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer stop()
	var log bytes.Buffer
	opts := options(program)
	opts.Out = &log
	spec := decode(t, strings.Replace(smallScenario, `for = "1500ms"`, `for = "30s"`, 1))
	if err := harness.Run(ctx, spec, opts); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want %v", err, context.DeadlineExceeded)
	}
	events, err := history.Read(&log)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range events {
		if e.Kind == history.Started && syscall.Kill(int(e.N), 0) == nil {
			t.Errorf("process %d of %s is still running", e.N, e.Who)
		}
	}
	if last := events[len(events)-1]; last.Kind != history.RunEnded || last.N != 0 {
		t.Errorf("got last event %+v, want %s with no processes left", last, history.RunEnded)
	}
}
