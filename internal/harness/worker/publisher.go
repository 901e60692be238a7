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
	putRetryDelay       = 100 * time.Millisecond // between two tries of a put that insists
	maxPutResponseBytes = 1 << 16
)

// publisher writes resources to the source, by a plan.
type publisher struct {
	recorder
	spec    Spec
	client  *http.Client
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

func newPublisher(s Spec, t recorder) *publisher {
	p := &publisher{recorder: t, spec: s, client: &http.Client{Timeout: putTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.running.Go(func() { history.WatchLag(p.ctx, s.Name, t.clock, t.record) })
	if s.RunStart > 0 {
		p.startPuts(s.RunStart)
	}
	return p
}

func (p *publisher) execute(c Command) error {
	switch c.Do {
	case DoFirst:
		p.running.Go(func() {
			for _, put := range p.spec.InitialPuts {
				p.publish(put)
			}
		})
	case DoBegin:
		p.startPuts(c.At)
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

func (p *publisher) close() {
	p.stop()
	p.running.Wait()
	p.client.CloseIdleConnections()
}

// startPuts writes all puts that are still due, each when its time comes, whatever has become of those before it. A process
// before this one has written the others, or has died with them.
func (p *publisher) startPuts(zero int64) {
	p.running.Go(func() {
		from := p.clock.Now()
		for _, put := range p.spec.Puts {
			due := zero + put.At.Microseconds()
			if due < from && !put.Retry {
				continue
			}
			if !sleep.For(p.ctx, time.Duration(due-p.clock.Now())*time.Microsecond) {
				return
			}
			p.running.Go(func() { p.publish(put) })
		}
	})
}

// publish writes one put, again and again if it insists.
func (p *publisher) publish(put plan.Put) {
	for {
		answered := p.attempt(put)
		if answered || !put.Retry || !sleep.For(p.ctx, putRetryDelay) {
			return
		}
	}
}

// attempt writes one put once and tells what came of it.
func (p *publisher) attempt(put plan.Put) (answered bool) {
	var request distribution.PutRequest
	_ = json.Unmarshal(put.Request, &request) // for its name alone; the source reads it whole
	began := p.clock.Now()
	e := history.Event{Kind: history.Put, Who: p.spec.Name, ID: put.ID, Resource: request.Resource, Urgent: put.Urgent}
	var err error
	e.Status, e.Version, err = p.post(put.Request)
	if p.ctx.Err() != nil {
		return false
	}
	if err != nil {
		e.Why = err.Error()
	}
	e.At = p.clock.Now()
	e.Took = e.At - began
	p.record(e)
	return err == nil
}

func (p *publisher) post(body []byte) (status int, v distribution.Version, err error) {
	request, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+p.spec.Source+"/v1/put", bytes.NewReader(body))
	if err != nil {
		return 0, v, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := p.client.Do(request)
	if err != nil {
		return 0, v, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPutResponseBytes))
	if err != nil {
		return response.StatusCode, v, err
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, v, fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(data))
	}
	var answer distribution.PutResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return response.StatusCode, v, fmt.Errorf("an answer to a put expected: %w", err)
	}
	if answer.Version.IsZero() {
		return response.StatusCode, v, errors.New("a version expected in the answer to a put")
	}
	return response.StatusCode, answer.Version, nil
}
