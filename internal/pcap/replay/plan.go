package replay

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	nethttp "net/http"
	"time"

	"fernlanding/internal/pcap/http"
)

// Idempotency says what a second execution of a request does.
type Idempotency int

// The kinds of request.
const (
	Idempotent      Idempotency = iota // GET, HEAD, OPTIONS, TRACE (RFC 9110, section 9.2.1)
	IdempotentByKey                    // it has an Idempotency-Key
	NonIdempotent                      // any other: a replay repeats its effect
)

// String returns the kind's name in reports.
func (i Idempotency) String() string { return [...]string{"safe", "keyed", "unsafe"}[i] }

// idempotencyOf returns the kind of a request.
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

// Step is one request of a plan.
type Step struct {
	Connection   int           // of the replay, from 0
	Offset       time.Duration // from the start of the replay
	Idempotency  Idempotency
	Class        string
	OldID        string
	NewID        string
	Head         []byte // with the empty line
	Body         http.Body
	RedactedBody []byte // is sent instead of Body if Redacted
	Redacted     bool
	Method       string
	Target       string
	Captured     Outcome
	CapturedBody http.Body // of the response
	SkipReason   string    // why it is not sent; empty if it is
}

// Outcome is what became of a request, in the capture or in the replay.
type Outcome struct {
	StatusCode int // 0: no complete response
	Latency    time.Duration
}

// Plan is what a replay sends. It is not safe for concurrent use.
type Plan struct {
	Steps []*Step

	opts           Options
	rnd            *rand.Rand
	connections    map[int64]int // by flow, the latest
	nextConnection int
	firstRequest   time.Time
	newKeys        map[string]string // by captured key
}

// New returns an empty plan, whose new ids come from the seed.
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

// Add adds a step for the next request of a capture. The error is ErrTooManyRequests, or that of a
// body that cannot be read.
func (p *Plan) Add(e *http.Exchange) error {
	request := e.Request
	if len(p.Steps) >= p.opts.MaxRequests {
		return fmt.Errorf("replay: %w: %d", ErrTooManyRequests, p.opts.MaxRequests)
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

// offsetOf returns when a request is sent.
func (p *Plan) offsetOf(request *http.Message) time.Duration {
	if p.opts.Speed > 0 {
		return max(0, time.Duration(float64(request.Began.Sub(p.firstRequest))/p.opts.Speed))
	}
	return 0
}

// connectionOf returns the connection for the next request of a flow.
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

// newID returns a new random id.
func (p *Plan) newID() string {
	var id [16]byte
	for i := range id {
		id[i] = byte(p.rnd.Uint32())
	}
	return hex.EncodeToString(id[:])
}
