package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Class is one class of requests that a load sends.
type Class struct {
	Name      string
	Method    string
	Path      string // a %d in it stands for a subject
	Body      string
	Keyed     bool
	Share     float64 // of all requests
	Objective time.Duration
	Deadline  time.Duration
}

// Load is requests at a rate, spread evenly at random over its time. Clients are open: they do not wait for each
// other, and none asks again.
type Load struct {
	Addr    string
	Classes []Class
	Rate    float64 // requests a second
	For     time.Duration
	Seed    uint64
	Tag     string // begins all ids and keys
}

// Result is what became of the requests of one class. Sent = Served + Refused + Failed.
type Result struct {
	Class    string        `json:"class"`
	Sent     int           `json:"sent"`
	Served   int           `json:"served"`
	Late     int           `json:"late"` // of those served: after the objective
	Refused  int           `json:"refused"`
	Failed   int           `json:"failed"`
	Attempts int           `json:"attempts"` // that reached a backend
	Per      float64       `json:"attempts_per_request"`
	P50      time.Duration `json:"p50_ns"` // of those served
	P99      time.Duration `json:"p99_ns"`
	times    []time.Duration
}

const (
	clientLeeway = 500 * time.Millisecond // that a client waits beyond the deadline, to see a late answer for what it is
	mostClients  = 2000                   // connections
)

// Run plays the load until it is over or the context ends, and returns a result for each class, in order.
func (l *Load) Run(ctx context.Context) []Result {
	dialer := net.Dialer{}
	client := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: mostClients,
		MaxConnsPerHost: mostClients, DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	rnd := rand.New(rand.NewPCG(l.Seed, 1))
	results := make([]Result, len(l.Classes))
	for i, c := range l.Classes {
		results[i].Class = c.Name
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	n := int(l.Rate * l.For.Seconds())
	times := make([]time.Duration, n)
	for i := range times {
		times[i] = time.Duration(rnd.Int64N(int64(l.For)))
	}
	slices.Sort(times)
	start := time.Now()
	for i, at := range times {
		class, subject := l.pick(rnd), rnd.IntN(10_000)
		wait := time.NewTimer(time.Until(start.Add(at)))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
		}
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			began := time.Now()
			status := l.send(client, class, fmt.Sprintf("%s-%s-%d", l.Tag, l.Classes[class].Name, i), subject)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			results[class].add(status, took, l.Classes[class])
		})
	}
	all.Wait()
	for i := range results {
		results[i].sum()
	}
	return results
}

func (l *Load) pick(rnd *rand.Rand) int {
	x := rnd.Float64()
	for i, c := range l.Classes {
		if x -= c.Share; x < 0 {
			return i
		}
	}
	return len(l.Classes) - 1
}

// send sends one request and returns the status of its answer; 0 is none.
func (l *Load) send(client *http.Client, class int, id string, subject int) int {
	c := l.Classes[class]
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline+clientLeeway)
	defer cancel()
	path := c.Path
	if strings.Contains(path, "%d") {
		path = fmt.Sprintf(path, subject)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+l.Addr+path, strings.NewReader(c.Body))
	if err != nil {
		return 0
	}
	req.GetBody = nil // net/http sends nothing again by itself
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Timeout-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	if c.Keyed {
		req.Header.Set("Idempotency-Key", id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (r *Result) add(status int, took time.Duration, c Class) {
	r.Sent++
	switch {
	case status >= 200 && status < 300:
		r.Served++
		if r.times = append(r.times, took); took > c.Objective {
			r.Late++
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.Refused++
	default:
		r.Failed++
	}
}

// Add adds another class's result.
func (r *Result) Add(o Result) {
	r.Class = "all"
	r.Sent, r.Served, r.Late, r.Refused, r.Failed = r.Sent+o.Sent, r.Served+o.Served, r.Late+o.Late, r.Refused+o.Refused, r.Failed+o.Failed
	r.Attempts += o.Attempts
	r.times = append(r.times, o.times...)
	if r.sum(); r.Sent > 0 {
		r.Per = float64(r.Attempts) / float64(r.Sent)
	}
}

func (r *Result) sum() {
	if len(r.times) == 0 {
		return
	}
	slices.Sort(r.times)
	r.P50, r.P99 = r.times[len(r.times)/2], r.times[len(r.times)*99/100]
}

// Count adds what workers saw of the requests of a load with this tag.
func (r *Result) Count(tag string, workers []*Worker) {
	prefix := tag + "-" + r.Class + "-"
	for _, w := range workers {
		for id, n := range w.Runs() {
			if strings.HasPrefix(id, prefix) {
				r.Attempts += n
			}
		}
	}
	if r.Sent > 0 {
		r.Per = float64(r.Attempts) / float64(r.Sent)
	}
}
