package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Class is one class of requests that a load sends.
type Class struct {
	Name      string
	Method    string
	Path      string // a %d in it stands for a random number
	Body      string
	Keyed     bool    // with an Idempotency-Key
	Share     float64 // of all requests
	Objective time.Duration
	Deadline  time.Duration
}

// Load is requests at a rate, at random times spread evenly over its duration. It is an open loop:
// clients do not wait for each other, and none retries.
type Load struct {
	Addr     string
	Classes  []Class
	Rate     float64 // requests a second
	Duration time.Duration
	Seed     uint64
	IDPrefix string // prefix of all request IDs and keys
}

// Result is what became of the requests of one class. Sent = Served + Shed + Failed.
type Result struct {
	Class              string        `json:"class"`
	Sent               int           `json:"sent"`
	Served             int           `json:"served"`
	Late               int           `json:"late"` // of those served: after the objective
	Shed               int           `json:"refused"`
	Failed             int           `json:"failed"`
	Attempts           int           `json:"attempts"` // that reached a backend
	AttemptsPerRequest float64       `json:"attempts_per_request"`
	P50                time.Duration `json:"p50_ns"` // of those served
	P99                time.Duration `json:"p99_ns"`
	latencies          []time.Duration
}

const (
	extraWait      = 500 * time.Millisecond // of a client beyond the deadline, so that a late response is seen
	maxClientConns = 2000
	maxSubject     = 10_000 // random numbers for Class.Path are below this
)

// Run sends the load until its end, or until the context ends; requests that are in flight by then
// get their response. It returns a result for each class, in order.
func (l *Load) Run(ctx context.Context) []Result {
	dialer := net.Dialer{}
	client := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxClientConns,
		MaxConnsPerHost: maxClientConns, DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(l.Seed, 1))
	results := make([]Result, len(l.Classes))
	for i, c := range l.Classes {
		results[i].Class = c.Name
	}
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	sendTimes := l.sendTimes(random)
	start := time.Now()
	for i, at := range sendTimes {
		class, subject := l.pickClass(random), random.IntN(maxSubject)
		if !waitUntil(ctx, start.Add(at)) {
			break
		}
		inFlight.Go(func() {
			began := time.Now()
			id := fmt.Sprintf("%s-%s-%d", l.IDPrefix, l.Classes[class].Name, i)
			status := l.send(context.WithoutCancel(ctx), client, class, id, subject)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			results[class].add(status, took, l.Classes[class])
		})
	}
	inFlight.Wait()
	for i := range results {
		results[i].summarize()
	}
	return results
}

// sendTimes draws when requests are sent, from the beginning of the load, in order.
func (l *Load) sendTimes(random *rand.Rand) []time.Duration {
	times := make([]time.Duration, int(l.Rate*l.Duration.Seconds()))
	for i := range times {
		times[i] = time.Duration(random.Int64N(int64(l.Duration)))
	}
	slices.Sort(times)
	return times
}

// waitUntil waits for a time; it returns false if the context ends first.
func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// pickClass returns the index of a random class, by the classes' shares.
func (l *Load) pickClass(random *rand.Rand) int {
	left := random.Float64()
	for i, c := range l.Classes {
		left -= c.Share
		if left < 0 {
			return i
		}
	}
	return len(l.Classes) - 1
}

// send sends one request and returns the status of its response; 0 is none.
func (l *Load) send(ctx context.Context, client *http.Client, class int, id string, subject int) int {
	c := l.Classes[class]
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+extraWait)
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
	req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Keyed {
		req.Header.Set("Idempotency-Key", id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// add counts one request.
func (r *Result) add(status int, took time.Duration, c Class) {
	r.Sent++
	switch {
	case status >= 200 && status < 300:
		r.Served++
		r.latencies = append(r.latencies, took)
		if took > c.Objective {
			r.Late++
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.Shed++
	default:
		r.Failed++
	}
}

// Add adds another class's result.
func (r *Result) Add(other Result) {
	r.Class = "all"
	r.Sent += other.Sent
	r.Served += other.Served
	r.Late += other.Late
	r.Shed += other.Shed
	r.Failed += other.Failed
	r.Attempts += other.Attempts
	r.latencies = append(r.latencies, other.latencies...)
	r.summarize()
	r.setAttemptsPerRequest()
}

// summarize takes the percentiles of the latencies.
func (r *Result) summarize() {
	if len(r.latencies) == 0 {
		return
	}
	slices.Sort(r.latencies)
	r.P50, r.P99 = r.latencies[len(r.latencies)/2], r.latencies[len(r.latencies)*99/100]
}

// CountAttempts adds the attempts that workers received of a load with this tag.
func (r *Result) CountAttempts(tag string, workers []*Worker) {
	prefix := tag + "-" + r.Class + "-"
	for _, w := range workers {
		for id, n := range w.RequestIDCounts() {
			if strings.HasPrefix(id, prefix) {
				r.Attempts += n
			}
		}
	}
	r.setAttemptsPerRequest()
}

// setAttemptsPerRequest divides the attempts by the requests, if there are any.
func (r *Result) setAttemptsPerRequest() {
	if r.Sent > 0 {
		r.AttemptsPerRequest = float64(r.Attempts) / float64(r.Sent)
	}
}
