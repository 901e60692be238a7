// Package rollout runs the distribution of resources on the harness: a source, two levels of
// relays, followers and a publisher, in separate processes and with faults on the links between
// them. It records a history, which package rollout/check evaluates. Package rollout/plan describes
// a run.
package rollout

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/launch"
	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/rollout/plan"
)

// Options are the options of a run.
type Options struct {
	Program []string  // command line of the program under test; "source ..." or "relay ..." is appended
	Worker  []string  // command line of followers and of the publisher
	Env     []string  // variables added to the environment of Program and Worker
	Out     io.Writer // receives the history
	Dir     string    // directory for the source's state; empty means a temporary directory
	Logs    io.Writer // receives the logs of the programs under test; nil means that the logs are discarded
}

// run is the state of one run of a scenario.
type run struct {
	*launch.Run
	sc     *plan.Scenario
	opts   Options
	client *http.Client // client for direct requests to the source and relays

	addrs      map[string]link.Addr // addresses of servers, publisher and followers, by name
	serverPort int                  // port on which the source and relays listen
	linkPorts  map[linkEnd]int      // ports on which the links to the source and relays listen

	startedAt    int64 // time at which the faults began, on the run's clock
	firstUpdates *firstUpdates
	putAnswered  chan struct{} // receives a value when a put has been answered
}

// linkEnd identifies the end of a link at a server.
type linkEnd struct{ link, server string }

// Run runs a scenario and writes its history to opts.Out. It returns after all processes of the run
// have exited. If ctx is done, Run ends the run early.
func Run(ctx context.Context, sc *plan.Scenario, opts Options) (err error) {
	common, err := launch.Begin(opts.Out, opts.Dir, sc.Name, sc.Seed)
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	r := &run{
		Run:          common,
		sc:           sc,
		opts:         opts,
		client:       &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}},
		linkPorts:    make(map[linkEnd]int),
		firstUpdates: newFirstUpdates(sc),
		putAnswered:  make(chan struct{}, 1),
	}
	defer func() {
		err = common.End(err)
		r.client.CloseIdleConnections()
	}()
	if err := r.openLinks(); err != nil { //nolint:contextcheck // listening on loopback does not block
		return fmt.Errorf("rollout: %w", err)
	}
	if err := r.start(ctx); err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	return r.execute(ctx)
}

// recordEvent records an event that a worker reports.
func (r *run) recordEvent(e history.Event) {
	r.Record(e)
	switch {
	case e.Kind == history.InForce:
		r.firstUpdates.add(e.Who, e.Resource)
	case e.Kind == history.Put && e.Status == http.StatusOK:
		select {
		case r.putAnswered <- struct{}{}:
		default:
		}
	}
}
