package replay

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	nethttp "net/http"
	"time"

	"fernlanding/internal/pcap/http"
)

// Idempotency says whether a request may be executed twice.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // GET, HEAD, OPTIONS, TRACE (RFC 9110, section 9.2.1)
	IdempotentByKey                    // any other method with an Idempotency-Key
	NonIdempotent                      // any other request: a replay repeats its effect
)

// String returns the name of the kind in reports.
func (i Idempotency) String() string { return [...]string{"safe", "keyed", "unsafe"}[i] }

// idempotencyOf returns the idempotency of a request.
func idempotencyOf(request *http.Message) Idempotency {
	switch request.Method {
	case nethttp.MethodGet, nethttp.MethodHead, nethttp.MethodOptions, nethttp.MethodTrace:
		return Idempotent
	}
	if request.FieldValue(keyField) != "" {
		return IdempotentByKey
	}
	return NonIdempotent
}

// Step is one request of a plan, to be sent or skipped.
type Step struct {
	Connection   int           // number of the connection in the replay, from 0
	Offset       time.Duration // from the start of the replay
	Idempotency  Idempotency
	Class        string
	OldID        string // captured value of Options.IDField
	NewID        string // new value of Options.IDField
	Head         []byte // with the empty line
	Body         http.Body
	RedactedBody []byte // sent instead of Body if Redacted is true
	Redacted     bool
	Method       string
	Target       string
	Captured     Outcome
	CapturedBody http.Body // body of the captured response
	SkipReason   string    // reason for which the request is not sent; empty if it is sent
}

// Outcome is the outcome of a request in the capture or in the replay.
type Outcome struct {
	StatusCode int // 0 means no complete response
	Latency    time.Duration
}

// Plan is a sequence of requests to replay. A Plan is not safe for concurrent use.
type Plan struct {
	Steps []*Step

	opts           Options
	rnd            *rand.Rand
	connections    map[int64]int // latest connection by flow ID
	nextConnection int
	firstRequest   time.Time
	newKeys        map[string]string // new idempotency keys by captured key
}

// New returns an empty plan. New IDs and idempotency keys are generated from the seed.
func New(opts Options, seed uint64) (*Plan, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Plan{
		opts:        opts,
		rnd:         rand.New(rand.NewPCG(seed, 11)),
		connections: map[int64]int{},
		newKeys:     map[string]string{},
	}, nil
}

// Add adds a step for the next request of a capture. The error wraps ErrTooManyRequests, or is the
// error of a body that cannot be read.
func (p *Plan) Add(e *http.Exchange) error {
	request := e.Request
	if len(p.Steps) >= p.opts.MaxRequests {
		return fmt.Errorf("replay: %w: limit of %d", ErrTooManyRequests, p.opts.MaxRequests)
	}
	if len(p.Steps) == 0 {
		p.firstRequest = request.Began
	}
	step := &Step{
		Connection:  p.connectionOf(e.Flow.ID),
		Offset:      p.offsetOf(request),
		Idempotency: idempotencyOf(request),
		Class:       request.FieldValue(p.opts.ClassField),
		OldID:       request.FieldValue(p.opts.IDField),
		Body:        request.Body,
		Method:      request.Method,
		Target:      request.Target,
	}
	if response := e.Response; response != nil {
		step.Captured = Outcome{StatusCode: response.StatusCode, Latency: response.Ended.Sub(request.Ended)}
		step.CapturedBody = response.Body
	}
	switch {
	case step.Idempotency == NonIdempotent && !p.opts.SendNonIdempotent:
		step.SkipReason = "unsafe: its effect would happen again"
	case request.Method == nethttp.MethodConnect || request.FieldValue("Upgrade") != "":
		step.SkipReason = "a tunnel"
	}
	p.Steps = append(p.Steps, step)
	if step.SkipReason != "" {
		return nil
	}
	return p.prepare(step, request)
}

// offsetOf returns the time at which a request is sent, from the start of the replay.
func (p *Plan) offsetOf(request *http.Message) time.Duration {
	if p.opts.Speed > 0 {
		return max(0, time.Duration(float64(request.Began.Sub(p.firstRequest))/p.opts.Speed))
	}
	return 0
}

// connectionOf returns the number of the connection for the next request of a flow.
func (p *Plan) connectionOf(flowID int64) int {
	connection, ok := p.connections[flowID]
	if ok && !p.opts.ConnectionPerRequest {
		return connection
	}
	connection = p.nextConnection
	p.nextConnection++
	p.connections[flowID] = connection
	return connection
}

// newID returns a new random ID of 128 bits in hexadecimal.
func (p *Plan) newID() string {
	var id [16]byte
	for i := range id {
		id[i] = byte(p.rnd.Uint32())
	}
	return hex.EncodeToString(id[:])
}
