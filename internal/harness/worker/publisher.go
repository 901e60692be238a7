package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/sleep"
)

const (
	putTimeout          = 2 * time.Second
	putRetryDelay       = 100 * time.Millisecond // delay between two attempts of a put
	maxPutResponseBytes = 1 << 16
	maxIdleConns        = 8
)

// publisher writes resources to the source according to its Spec.
type publisher struct {
	recorder
	spec    Spec
	client  *http.Client
	running sync.WaitGroup
}

// newPublisher starts a publisher. If the run has already started, the publisher continues with the
// puts that are due from now on.
func newPublisher(ctx context.Context, spec Spec, r recorder) *publisher {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	p := &publisher{recorder: r, spec: spec, client: &http.Client{Timeout: putTimeout, Transport: transport}}
	p.running.Go(func() { history.WatchLag(ctx, spec.Name, r.clock, r.record) })
	if spec.RunStart > 0 {
		p.startPuts(ctx, spec.RunStart)
	}
	return p
}

// execute implements runner.
func (p *publisher) execute(ctx context.Context, command Command) error {
	switch command.Do {
	case DoInitialPuts:
		p.running.Go(func() {
			for _, put := range p.spec.InitialPuts {
				p.publish(ctx, put)
			}
		})
	case DoStartPuts:
		p.startPuts(ctx, command.At)
	default:
		return errUnknownCommand
	}
	return nil
}

// close implements runner.
func (p *publisher) close() {
	p.running.Wait()
	p.client.CloseIdleConnections()
}

// startPuts starts to write the puts that are still due, each at its time after the run's start and
// independently of the results of earlier puts. It skips puts without Retry that were due earlier:
// a previous process of the publisher has written them, or was killed before it could.
func (p *publisher) startPuts(ctx context.Context, runStart int64) {
	p.running.Go(func() {
		startedAt := p.clock.Now()
		for _, put := range p.spec.Puts {
			due := runStart + put.At.Microseconds()
			if due < startedAt && !put.Retry {
				continue
			}
			if !sleep.For(ctx, time.Duration(due-p.clock.Now())*time.Microsecond) {
				return
			}
			p.running.Go(func() { p.publish(ctx, put) })
		}
	})
}

// publish writes one put. If put.Retry is set, it retries until the source accepts the put.
func (p *publisher) publish(ctx context.Context, put plan.Put) {
	for {
		answered := p.attempt(ctx, put)
		if answered || !put.Retry || !sleep.For(ctx, putRetryDelay) {
			return
		}
	}
}

// attempt writes one put once and records the outcome. It reports whether the source accepted the
// put.
func (p *publisher) attempt(ctx context.Context, put plan.Put) (accepted bool) {
	var request distribution.PutRequest
	_ = json.Unmarshal(put.Request, &request) // only for the resource's name; the source validates the request
	start := p.clock.Now()
	status, version, err := p.post(ctx, put.Request)
	if ctx.Err() != nil {
		return false
	}
	e := history.Event{
		Kind:     history.Put,
		At:       p.clock.Now(),
		Who:      p.spec.Name,
		ID:       put.ID,
		Resource: request.Resource,
		Urgent:   put.Urgent,
		Status:   status,
		Version:  version,
	}
	if err != nil {
		e.Reason = err.Error()
	}
	e.Took = e.At - start
	p.record(e)
	return err == nil
}

// post sends a put to the source. It returns the response's status, or 0 if there is no response,
// and the version that the put created.
func (p *publisher) post(ctx context.Context, body []byte) (status int, version distribution.Version, err error) {
	url := "http://" + p.spec.Source + "/v1/put"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, distribution.Version{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, distribution.Version{}, err
	}
	defer func() { _ = resp.Body.Close() }() // read errors are handled below
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPutResponseBytes))
	if err != nil {
		return resp.StatusCode, distribution.Version{}, err
	}
	if resp.StatusCode != http.StatusOK {
		statusErr := &StatusError{Status: resp.StatusCode, Body: bytes.TrimSpace(data)}
		return resp.StatusCode, distribution.Version{}, statusErr
	}
	version, err = decodePutResponse(data)
	return resp.StatusCode, version, err
}

// StatusError is the error for a response of the source with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// decodePutResponse returns the version in the source's response.
func decodePutResponse(data []byte) (distribution.Version, error) {
	var response distribution.PutResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return distribution.Version{}, fmt.Errorf("an answer to a put expected: %w", err)
	}
	if response.Version.IsZero() {
		return distribution.Version{}, errors.New("a version expected in the answer to a put")
	}
	return response.Version, nil
}
