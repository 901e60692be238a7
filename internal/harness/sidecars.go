package harness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/process"
	"fernlanding/internal/harness/worker"
	"fernlanding/internal/sleep"
)

const (
	maxMemoryShare = 0.8                    // share of the machine's available memory that a run may use
	measureDelay   = 100 * time.Millisecond // time from a process's start until its runtime is set up
)

// startSidecars starts the clients and their load, and then the processes under test.
func (r *run) startSidecars(ctx context.Context) error {
	for i := range r.sidecarNames {
		if err := os.WriteFile(r.configPath(i), []byte(r.configText(i)), 0o600); err != nil {
			return err
		}
	}
	if err := r.checkMemory(ctx); err != nil {
		return err
	}
	if err := r.startClients(ctx); err != nil {
		return err
	}
	for _, name := range r.clientNames {
		command := worker.Command{Do: worker.DoLoad, On: r.spec.Clients.Rate > 0}
		if err := r.Processes.SendCommand(name, command); err != nil {
			return err
		}
	}
	interval := r.spec.Sidecars.StartSpread / time.Duration(len(r.sidecarNames))
	for i := range r.sidecarNames {
		if err := r.startSidecar(i); err != nil {
			return err
		}
		if interval > 0 && !sleep.For(ctx, interval) {
			return ctx.Err()
		}
	}
	return nil
}

// MemoryError is the error for a run whose sidecars do not fit into the machine's memory.
type MemoryError struct {
	Count          int   // number of sidecars in the run
	EachBytes      int64 // resident memory of one sidecar
	AvailableBytes int64 // memory that the run may use on this machine
}

// Error implements error. It begins with the scenario's key to change.
func (e *MemoryError) Error() string {
	need := e.EachBytes * int64(e.Count)
	return fmt.Sprintf("sidecars.count: %d processes of %d MB need %d MB, limit on this machine is %d MB",
		e.Count, e.EachBytes>>20, need>>20, e.AvailableBytes>>20)
}

// checkMemory starts one sidecar, measures its memory and kills it. It returns a *MemoryError if
// all sidecars together would not fit into the machine's memory.
func (r *run) checkMemory(ctx context.Context) error {
	if err := r.startSidecar(0); err != nil {
		return err
	}
	if !sleep.For(ctx, measureDelay) {
		return ctx.Err()
	}
	each := process.ResidentBytes(r.Processes.PID(r.sidecarNames[0]))
	r.Processes.Kill(r.sidecarNames[0])
	// The run must not begin with the state of the process that was measured.
	if err := os.RemoveAll(r.stateDir(0)); err != nil {
		return err
	}
	available := process.AvailableBytes()
	limit := maxMemoryShare * float64(available)
	need := each * int64(len(r.sidecarNames))
	if available > 0 && float64(need) > limit {
		return &MemoryError{Count: len(r.sidecarNames), EachBytes: each, AvailableBytes: int64(limit)}
	}
	return nil
}

// startSidecar starts a process under test. It reads the standard error of the process to the end,
// so that the process never blocks on a full pipe.
func (r *run) startSidecar(index int) error {
	name := r.sidecarNames[index]
	return r.Processes.Start(process.Spec{
		Name:     name,
		Args:     append(slices.Clone(r.opts.Sidecar), "-config", r.configPath(index)),
		Env:      r.opts.Env,
		MaxFiles: r.spec.Sidecars.Sockets,
		ReadStderr: func(stderr io.Reader) {
			lines := bufio.NewScanner(stderr)
			for lines.Scan() {
				if r.opts.Logs {
					r.Record(history.Event{Kind: history.Log, Who: name, Reason: lines.Text()})
				}
			}
			// The scanner stops at a line that exceeds its limit. The rest is discarded.
			_, _ = io.Copy(io.Discard, stderr)
		},
	})
}

// stateDir returns the path of a sidecar's state directory, which outlives the sidecar's process.
// It is used if the scenario's sidecars persist their state.
func (r *run) stateDir(index int) string { return filepath.Join(r.Dir, r.sidecarNames[index]) }

// configPath returns the path of a sidecar's configuration file.
func (r *run) configPath(index int) string {
	return filepath.Join(r.Dir, r.sidecarNames[index]+".toml")
}
