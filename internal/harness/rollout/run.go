// Package rollout runs distribution on the rig: a source, two levels of relays, followers and a
// publisher in processes of their own, with faults on the links between them. It records what
// happens as a history, which package check evaluates. Package plan describes what is run.
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

// Options say how a run is carried out.
type Options struct {
	Program []string // the program under test and its first arguments; "source ..." or "relay ..." is added
	Worker  []string // the program of followers and the publisher
	Env     []string // further environment of both
	Out     io.Writer
	Dir     string    // for the source's state; empty: a temporary one that is removed
	Logs    io.Writer // of the programs under test; nil: discarded
}

// run is one run.
type run struct {
	*launch.Run
	sc     *plan.Scenario
	opts   Options
	client *http.Client // for direct requests to the source and relays

	places     map[string]link.Addr // of all that open connections or listen, by name
	serverPort int                  // where the source and relays listen
	linkPorts  map[linkEnd]int      // where the links to them listen

	startedAt    int64 // when the faults began, on the run's clock
	firstUpdates *firstUpdates
	putAnswered  chan struct{} // a put has been answered
}

// linkEnd is where a link leads to a server.
type linkEnd struct{ link, server string }

// Run runs a scenario and writes its history to opts.Out. It returns when none of its processes is
// left. When the context ends it stops early.
func Run(ctx context.Context, sc *plan.Scenario, opts Options) (err error) {
	begun, err := launch.Begin(opts.Out, opts.Dir, sc.Name, sc.Seed)
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	r := &run{
		Run:          begun,
		sc:           sc,
		opts:         opts,
		client:       &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}},
		linkPorts:    make(map[linkEnd]int),
		firstUpdates: newFirstUpdates(sc),
		putAnswered:  make(chan struct{}, 1),
	}
	defer func() {
		err = begun.End(err)
		r.client.CloseIdleConnections()
	}()
	if err := r.openLinks(); err != nil { //nolint:contextcheck // listening on loopback does not wait
		return fmt.Errorf("rollout: %w", err)
	}
	if err := r.start(ctx); err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	return r.execute(ctx)
}

// recordEvent records an event of a worker.
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
