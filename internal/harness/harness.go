// Package harness runs many sidecar processes together with stand-ins for clients, backends and
// list services. Every connection between the processes goes through a relay that can inject
// faults. All events are written to one history, which package check evaluates after the run.
package harness

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"fernlanding/internal/harness/launch"
	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
	"fernlanding/internal/standin"
)

// Options are the options of a run.
type Options struct {
	// Sidecar is the command line of the program under test; "-config FILE" is appended.
	Sidecar []string
	// Worker is the command line of a stand-in process, which runs worker.Main.
	Worker []string
	// Env is added to the environment of sidecars and stand-in processes.
	Env []string
	// Out receives the history.
	Out io.Writer
	// Logs adds the log lines of the sidecars to the history.
	Logs bool
	// Dir is the directory for the sidecars' configuration files. If Dir is empty, a temporary
	// directory is used and removed at the end.
	Dir string
}

// stopTimeout is the time within which the sidecars must exit after SIGTERM.
const stopTimeout = 10 * time.Second

// run is the state of one run of a scenario.
type run struct {
	*launch.Run
	spec *scenario.Scenario
	opts Options

	sidecarNames     []string
	listNames        []string
	clientNames      []string
	backendNames     []string
	backendIndex     map[string]int // index in backendNames by backend name
	backendProcesses []string       // names of the processes that the backends are distributed over

	addrs             []link.Addr // addresses of the sidecars, in the order of sidecarNames
	sidecarPort       int         // port on which sidecars listen
	sidecarRelayPort  int         // port of the relay from clients to sidecars
	listRelayPorts    []int
	backendRelayPorts []int

	loadEnded chan struct{} // receives one value for each client process whose load has ended

	mu           sync.Mutex
	listAddrs    []string                  // listening addresses of the list services; guarded by mu
	backendAddrs map[string]string         // listening addresses of the backends, by name; guarded by mu
	members      map[string]standin.Member // the endpoint list, by backend name; guarded by mu
}

// Run runs a scenario and writes its history to opts.Out. It returns after all processes of the run
// have exited. If ctx is done, Run ends the run early and returns an error that wraps the context's
// error.
func Run(ctx context.Context, spec *scenario.Scenario, opts Options) error {
	common, err := launch.Begin(opts.Out, opts.Dir, spec.Name, spec.Seed)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	r := newRun(common, spec, opts)
	return common.End(r.execute(ctx))
}

// newRun returns a run that has not been started.
func newRun(common *launch.Run, spec *scenario.Scenario, opts Options) *run {
	clients := spec.Names(scenario.OnClients)
	r := &run{
		Run:          common,
		spec:         spec,
		opts:         opts,
		sidecarNames: spec.Names(scenario.OnSidecars),
		listNames:    spec.Names(scenario.OnLists),
		clientNames:  clients,
		backendNames: spec.Names(scenario.OnBackends),
		backendIndex: map[string]int{},
		loadEnded:    make(chan struct{}, len(clients)),
		backendAddrs: map[string]string{},
		members:      map[string]standin.Member{},
	}
	for i, name := range r.backendNames {
		r.backendIndex[name] = i
	}
	for i := range spec.Backends.Processes {
		r.backendProcesses = append(r.backendProcesses, fmt.Sprintf("backends-%d", i+1))
	}
	return r
}

// execute starts all processes, carries out the fault schedule and stops the sidecars.
func (r *run) execute(ctx context.Context) error {
	//nolint:contextcheck // the listeners bind to literal addresses, which does not block
	if err := r.openNetwork(); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := r.startStandIns(ctx); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := r.startSidecars(ctx); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := r.runSchedule(ctx); err != nil {
		return err
	}
	return r.stop()
}

// stop ends the load, waits for the last responses, and terminates the sidecars.
func (r *run) stop() error {
	for _, name := range r.clientNames {
		// An error means that the client process has exited and has no load to end.
		_ = r.Processes.SendCommand(name, worker.Command{Do: worker.DoLoad})
	}
	longest := time.Duration(0)
	for _, class := range worker.Classes() {
		longest = max(longest, class.Deadline)
	}
	timeout := time.NewTimer(longest + time.Second)
	defer timeout.Stop()
	for range r.clientNames {
		select {
		case <-r.loadEnded:
		case <-timeout.C:
		}
	}
	if err := r.Processes.Terminate(r.sidecarNames, stopTimeout); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}
