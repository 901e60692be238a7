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

// Class is a class of requests that a Load sends.
type Class struct {
	Name      string
	Method    string
	Path      string // request target; a %d is replaced by a random number
	Body      string
	Keyed     bool    // whether requests carry an Idempotency-Key
	Share     float64 // fraction of all requests
	Objective time.Duration
	Deadline  time.Duration
}

// Load sends requests at a mean rate, at random times that are uniformly distributed over its
// duration. It is an open loop: a request does not wait for the responses to others, and no request
// is retried.
type Load struct {
	Addr     string // address of the proxy, host:port
	Classes  []Class
	Rate     float64 // requests per second
	Duration time.Duration
	Seed     uint64
	IDPrefix string // prefix of all request IDs and idempotency keys
}

// Result counts the outcomes of the requests of one class. Sent = Served + Shed + Failed.
type Result struct {
	Class              string        `json:"class"`
	Sent               int           `json:"sent"`
	Served             int           `json:"served"`
	Late               int           `json:"late"` // served requests that missed the objective
	Shed               int           `json:"refused"`
	Failed             int           `json:"failed"`
	Attempts           int           `json:"attempts"` // attempts that backends have received
	AttemptsPerRequest float64       `json:"attempts_per_request"`
	P50                time.Duration `json:"p50_ns"` // latency of served requests
	P99                time.Duration `json:"p99_ns"`
	latencies          []time.Duration
}

const (
	// responseGrace is how long a client waits beyond the deadline, so that a late response is
	// seen.
	responseGrace  = 500 * time.Millisecond
	maxClientConns = 2000
	maxPathNumber  = 10_000 // the random numbers of Class.Path are lower
)

// Run sends requests until the load's duration or the context ends, and waits for the responses to
// those in flight. It returns a result for each class, in the order of Classes.
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
		class, pathNumber := l.pickClass(random), random.IntN(maxPathNumber)
		if !waitUntil(ctx, start.Add(at)) {
			break
		}
		inFlight.Go(func() {
			sentAt := time.Now()
			id := fmt.Sprintf("%s-%s-%d", l.IDPrefix, l.Classes[class].Name, i)
			status := l.send(context.WithoutCancel(ctx), client, class, id, pathNumber)
			latency := time.Since(sentAt)
			mu.Lock()
			defer mu.Unlock()
			results[class].add(status, latency, l.Classes[class])
		})
	}
	inFlight.Wait()
	for i := range results {
		results[i].summarize()
	}
	return results
}

// sendTimes draws the times at which requests are sent, as offsets from the start, in ascending
// order.
func (l *Load) sendTimes(random *rand.Rand) []time.Duration {
	times := make([]time.Duration, int(l.Rate*l.Duration.Seconds()))
	for i := range times {
		times[i] = time.Duration(random.Int64N(int64(l.Duration)))
	}
	slices.Sort(times)
	return times
}

// waitUntil waits for a time. It returns false if the context has ended.
func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// pickClass returns the index of a random class, weighted by Class.Share.
func (l *Load) pickClass(random *rand.Rand) int {
	remaining := random.Float64()
	for i, c := range l.Classes {
		remaining -= c.Share
		if remaining < 0 {
			return i
		}
	}
	return len(l.Classes) - 1
}

// send sends one request and returns the status of the response. 0 means that there was no complete
// response.
func (l *Load) send(ctx context.Context, client *http.Client, class int, id string, pathNumber int) int {
	c := l.Classes[class]
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+responseGrace)
	defer cancel()
	path := c.Path
	if strings.Contains(path, "%d") {
		path = fmt.Sprintf(path, pathNumber)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+l.Addr+path, strings.NewReader(c.Body))
	if err != nil {
		return 0
	}
	req.GetBody = nil // keeps net/http from retrying the request by itself
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Keyed {
		req.Header.Set("Idempotency-Key", id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read: the error is of no use
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// add counts one request.
func (r *Result) add(status int, latency time.Duration, c Class) {
	r.Sent++
	switch {
	case status >= 200 && status < 300:
		r.Served++
		r.latencies = append(r.latencies, latency)
		if latency > c.Objective {
			r.Late++
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.Shed++
	default:
		r.Failed++
	}
}

// Add adds the result of another class to a total over classes.
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

// summarize sets the percentiles of the latencies.
func (r *Result) summarize() {
	if len(r.latencies) == 0 {
		return
	}
	slices.Sort(r.latencies)
	r.P50, r.P99 = r.latencies[len(r.latencies)/2], r.latencies[len(r.latencies)*99/100]
}

// CountAttempts adds the attempts of the class that workers have received from a load with an ID
// prefix.
func (r *Result) CountAttempts(idPrefix string, workers []*Worker) {
	prefix := idPrefix + "-" + r.Class + "-"
	for _, w := range workers {
		for id, n := range w.RequestIDCounts() {
			if strings.HasPrefix(id, prefix) {
				r.Attempts += n
			}
		}
	}
	r.setAttemptsPerRequest()
}

// setAttemptsPerRequest sets AttemptsPerRequest. Without requests it is unchanged.
func (r *Result) setAttemptsPerRequest() {
	if r.Sent > 0 {
		r.AttemptsPerRequest = float64(r.Attempts) / float64(r.Sent)
	}
}
