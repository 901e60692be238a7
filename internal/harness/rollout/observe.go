package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/process"
	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/harness/worker"
)

const (
	// requestTimeout is the timeout of a request to the source or a relay.
	requestTimeout = time.Second
	// observeInterval is the interval at which the statistics and reports of servers are requested.
	observeInterval = 300 * time.Millisecond
	// maxResponseBytes is the largest response of the source or a relay that is read.
	maxResponseBytes = 64 << 20
	// cpuWaitInterval is the interval at which the waits of processes for a core are sampled.
	cpuWaitInterval = 50 * time.Millisecond
	// minCPUWait is the shortest wait that is recorded.
	minCPUWait = time.Millisecond
)

// observeServers records the statistics of the source and the relays and the source's in-force
// reports until ctx is done.
func (r *run) observeServers(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		for _, name := range r.servers() {
			r.recordStats(ctx, name)
		}
		for _, resource := range r.sc.Resources() {
			r.recordStatus(ctx, resource)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// recordStats records the statistics and the resident memory of a server.
func (r *run) recordStats(ctx context.Context, name string) {
	var stats map[string]any
	if r.get(ctx, name, "/v1/stats", &stats) != nil {
		return // the server is down or stopped
	}
	figures := map[string]float64{history.UsageResident: float64(process.ResidentBytes(r.Processes.PID(name)))}
	for field, value := range stats {
		if number, ok := value.(float64); ok {
			figures[field] = number
		}
	}
	r.Record(history.Event{Kind: history.Usage, Who: name, Figures: figures})
}

// recordStatus records the source's in-force report of a resource.
func (r *run) recordStatus(ctx context.Context, resource string) {
	var status distribution.ResourceStatus
	if r.get(ctx, plan.Source, "/v1/status?resource="+url.QueryEscape(resource), &status) != nil {
		return // the source is down or stopped
	}
	r.Record(history.Event{Kind: history.StatusReported, Who: plan.Source, Resource: resource, Report: &status})
}

// recordResource records the version and the digest of the items of a resource at the source.
func (r *run) recordResource(ctx context.Context, resource string) {
	began := r.Clock.Now()
	var u distribution.Update
	if err := r.get(ctx, plan.Source, "/v1/resource?name="+url.QueryEscape(resource), &u); err != nil {
		r.Record(history.Event{Kind: history.Log, Who: plan.Source, Resource: resource, Reason: err.Error()})
		return
	}
	now := r.Clock.Now()
	r.Record(history.Event{
		At:       now,
		Kind:     history.SourceRead,
		Who:      plan.Source,
		Resource: resource,
		Version:  u.Version,
		Digest:   worker.DigestOf(u.Items),
		Took:     now - began,
	})
}

// get requests a path from a server and decodes the JSON response. The request goes directly to the
// server, without a link.
func (r *run) get(ctx context.Context, server, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address(server)+path, nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // read errors are returned by Decode
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into)
}

// cpuSample is the total time for which a process had waited for a core at a point in time.
type cpuSample struct {
	at     int64 // time of the sample on the run's clock
	waited time.Duration
}

// observeCPUWaits records how long the processes on the paths from the source to followers wait for
// a core, until ctx is done. previous has the first samples by process ID.
func (r *run) observeCPUWaits(ctx context.Context, previous map[int]cpuSample) {
	ticker := time.NewTicker(cpuWaitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			previous = r.recordCPUWaits(previous)
		case <-ctx.Done():
			return
		}
	}
}

// recordCPUWaits samples all processes and records how long each process has waited since the
// previous samples. It returns the new samples by process ID.
func (r *run) recordCPUWaits(previous map[int]cpuSample) map[int]cpuSample {
	samples := make(map[int]cpuSample)
	for _, name := range slices.Concat(r.servers(), r.sc.Names(plan.OnFollowers)) {
		pid := r.Processes.PID(name)
		samples[pid] = cpuSample{at: r.Clock.Now(), waited: process.CPUWait(pid)}
		last, known := previous[pid]
		waited := samples[pid].waited - last.waited
		if known && waited >= minCPUWait {
			r.Record(history.Event{Kind: history.CPUWaited, Who: name, N: last.at, Took: waited.Microseconds()})
		}
	}
	return samples
}
