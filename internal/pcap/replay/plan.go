// Package replay sends the requests of a capture again. What is sent, when, and what is left out is decided by a Plan,
// which does no I/O and reads no clock; Run carries it out. Nothing is ever sent twice.
package replay

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/pcap/http"
)

// Idempotency says what may happen when a request runs once more than in the capture.
type Idempotency int

// The kinds of request.
const (
	Idempotent      Idempotency = iota // GET, HEAD, OPTIONS, TRACE (RFC 9110, section 9.2.1)
	IdempotentByKey                    // it carries an Idempotency-Key
	NonIdempotent                      // anything else: a replay runs its effect again
)

// String names the kind.
func (r Idempotency) String() string { return [...]string{"safe", "keyed", "unsafe"}[r] }

// Options direct a plan. The zero value sends what is not unsafe, as captured.
type Options struct {
	Speed                float64           // 1 and 0: as captured; 2: twice as fast; negative: at once
	ConnectionPerRequest bool              // a connection for each request, not as captured
	SendNonIdempotent    bool              // send unsafe requests too
	ClassField           string            // the field that names a request's class in reports (Request-Class)
	IDField              string            // the field whose value is made new (Request-Id); empty: none is
	NewKeys              bool              // Idempotency-Key is made new, alike for alike
	Set                  map[string]string // fields that are set, whatever the capture has; an empty value takes the field out
	Copy                 map[string]string // fields that are set from others of the capture: new name to old name
	Redact               []Redaction
	MaxRequests          int // requests (default 1,000,000)
}

// Redaction replaces what matches in the value of a field, or in bodies of up to 1 MiB if Field is empty. A longer body
// that is to be redacted is left out of the replay: it might show what it must not.
type Redaction struct {
	Field   string
	Pattern *regexp.Regexp
	With    string
}

const (
	defaultMaxRequests = 1_000_000
	maxRedactedBody    = 1 << 20
	keyField           = "Idempotency-Key"
	minSpeed           = 1e-3
	maxSpeed           = 1e6
)

// Step is one request of a plan.
type Step struct {
	Connection   int // connection of the replay, from 0
	Offset       time.Duration
	Idempotency  Idempotency
	Class        string
	OldID        string
	NewID        string
	Head         []byte // with the empty line
	Body         http.Body
	RedactedBody []byte // stands in for Body if redacted
	Redacted     bool
	Method       string
	Target       string
	Captured     Outcome
	CapturedBody http.Body // the captured one's
	SkipReason   string    // why it is not sent; empty if it is
}

// Outcome is what became of a request: captured, or in the replay.
type Outcome struct {
	StatusCode int // 0: no whole answer
	Latency    time.Duration
}

// Plan is what a replay sends.
type Plan struct {
	opts  Options
	rnd   *rand.Rand
	Steps []*Step
	conns map[int64]int
	next  int
	first time.Time
	keys  map[string]string
}

// New returns an empty plan, whose new ids come from the seed.
func New(opts Options, seed uint64) (*Plan, error) {
	if opts.Speed == 0 {
		opts.Speed = 1
	}
	if opts.Speed > 0 && (opts.Speed < minSpeed || opts.Speed > maxSpeed) {
		return nil, fmt.Errorf("replay: speed: found %g, expected %g to %g", opts.Speed, minSpeed, maxSpeed)
	}
	if opts.MaxRequests == 0 {
		opts.MaxRequests = defaultMaxRequests
	}
	if opts.ClassField == "" {
		opts.ClassField = "Request-Class"
	}
	for _, names := range []map[string]string{opts.Set, opts.Copy} {
		for name, value := range names {
			if strings.ContainsAny(name+value, "\r\n\x00") || name == "" || strings.ContainsAny(name, " :") || framing(name) {
				return nil, fmt.Errorf("replay: field %.40q: it cannot be set", name)
			}
		}
	}
	return &Plan{opts: opts, rnd: rand.New(rand.NewPCG(seed, 11)), conns: map[int64]int{}, keys: map[string]string{}}, nil
}

// framing tells whether a field frames a message: these are the plan's own.
func framing(name string) bool {
	return slices.ContainsFunc([]string{"Content-Length", "Transfer-Encoding", "Connection", "Expect", "Trailer", "Upgrade", "TE", "Keep-Alive", "Proxy-Connection"},
		func(f string) bool { return strings.EqualFold(f, name) })
}

// ErrTooManyRequests says that a capture has more requests than a plan takes.
var ErrTooManyRequests = errors.New("more requests than a replay takes")

// Add takes the next request of a capture.
func (p *Plan) Add(e *http.Exchange) error {
	q := e.Request
	if len(p.Steps) >= p.opts.MaxRequests {
		return fmt.Errorf("replay: %w: %d", ErrTooManyRequests, p.opts.MaxRequests)
	}
	if len(p.Steps) == 0 {
		p.first = q.Began
	}
	s := &Step{Method: q.Method, Target: q.Target, Body: q.Body, Class: q.FieldValue(p.opts.ClassField), OldID: q.FieldValue(p.opts.IDField), Idempotency: idempotencyOf(q)}
	if p.opts.Speed > 0 {
		s.Offset = max(0, time.Duration(float64(q.Began.Sub(p.first))/p.opts.Speed))
	}
	if n, ok := p.conns[e.Flow.ID]; ok && !p.opts.ConnectionPerRequest {
		s.Connection = n
	} else {
		s.Connection = p.next
		p.conns[e.Flow.ID] = p.next
		p.next++
	}
	if a := e.Response; a != nil {
		s.Captured, s.CapturedBody = Outcome{a.StatusCode, a.Ended.Sub(q.Ended)}, a.Body
	}
	switch {
	case s.Idempotency == NonIdempotent && !p.opts.SendNonIdempotent:
		s.SkipReason = "unsafe: its effect would happen again"
	case q.Method == "CONNECT" || q.FieldValue("Upgrade") != "":
		s.SkipReason = "a tunnel"
	}
	p.Steps = append(p.Steps, s)
	if s.SkipReason == "" {
		return p.word(s, q)
	}
	return nil
}

// idempotencyOf is what may happen when a request runs again.
func idempotencyOf(q *http.Message) Idempotency {
	switch {
	case q.Method == "GET" || q.Method == "HEAD" || q.Method == "OPTIONS" || q.Method == "TRACE":
		return Idempotent
	case q.FieldValue(keyField) != "":
		return IdempotentByKey
	}
	return NonIdempotent
}

// word writes the head of a step as it goes out.
func (p *Plan) word(s *Step, q *http.Message) error {
	size, err := p.redactBody(s, q)
	if err != nil || s.SkipReason != "" {
		return err
	}
	h := &headWriter{plan: p}
	fmt.Fprintf(&h.text, "%s %s HTTP/1.1\r\n", q.Method, q.Target)
	for _, f := range q.Header {
		p.copyField(h, s, f)
	}
	p.addFields(h, s, q)
	if !h.host {
		h.text.WriteString("Host: replay\r\n")
	}
	if size > 0 || s.Idempotency != Idempotent {
		fmt.Fprintf(&h.text, "Content-Length: %d\r\n", size)
	}
	s.Head = []byte(h.text.String() + "\r\n")
	return nil
}

// redactBody gives a step the body that goes out instead of the captured one, if bodies are redacted, and returns the size of
// what goes out. A body that is too large to be redacted has the step skipped.
func (p *Plan) redactBody(s *Step, q *http.Message) (size int64, err error) {
	size = q.Body.Size
	redacted := slices.ContainsFunc(p.opts.Redact, func(r Redaction) bool { return r.Field == "" })
	if !redacted || size <= 0 {
		return size, nil
	}
	if size > maxRedactedBody {
		s.SkipReason = fmt.Sprintf("a body of %d bytes cannot be redacted, of at most %d", size, maxRedactedBody)
		return size, nil
	}
	body, err := q.Body.Bytes()
	if err != nil {
		return size, err
	}
	for _, r := range p.opts.Redact {
		if r.Field == "" {
			body = r.Pattern.ReplaceAll(body, []byte(r.With))
		}
	}
	s.RedactedBody, s.Redacted = body, true
	return int64(len(body)), nil
}

// headWriter writes the head of a request, with its fields redacted.
type headWriter struct {
	plan *Plan
	text strings.Builder
	host bool // a Host field has been written
}

func (h *headWriter) field(name, value string) {
	fmt.Fprintf(&h.text, "%s: %s\r\n", name, h.plan.clean(name, value))
	h.host = h.host || strings.EqualFold(name, "Host")
}

// copyField writes a captured field, unless the plan has its own; ids and keys are made anew where that is asked for.
func (p *Plan) copyField(h *headWriter, s *Step, f http.Field) {
	switch {
	case p.owns(f.Name):
	case p.opts.IDField != "" && strings.EqualFold(f.Name, p.opts.IDField):
		if s.NewID == "" {
			s.NewID = p.fresh()
			h.field(f.Name, s.NewID)
		}
	case p.opts.NewKeys && strings.EqualFold(f.Name, keyField):
		if p.keys[f.Value] == "" { // a repeat in the capture stays one
			p.keys[f.Value] = p.fresh()
		}
		h.field(f.Name, p.keys[f.Value])
	default:
		h.field(f.Name, f.Value)
	}
}

// owns tells whether the plan writes a field itself.
func (p *Plan) owns(name string) bool {
	for _, names := range []map[string]string{p.opts.Set, p.opts.Copy} {
		for n := range names {
			if strings.EqualFold(n, name) {
				return true
			}
		}
	}
	return framing(name)
}

// addFields writes the fields that the plan has of its own.
func (p *Plan) addFields(h *headWriter, s *Step, q *http.Message) {
	if p.opts.IDField != "" && s.NewID == "" {
		s.NewID = p.fresh()
		h.field(p.opts.IDField, s.NewID)
	}
	for _, name := range sorted(p.opts.Copy) {
		if v := q.FieldValue(p.opts.Copy[name]); v != "" {
			h.field(name, v)
		}
	}
	for _, name := range sorted(p.opts.Set) {
		if v := p.opts.Set[name]; v != "" {
			h.field(name, v)
		}
	}
}

// clean is a field's value after redaction.
func (p *Plan) clean(name, value string) string {
	for _, r := range p.opts.Redact {
		if r.Field != "" && strings.EqualFold(r.Field, name) {
			value = strings.NewReplacer("\r", " ", "\n", " ").Replace(r.Pattern.ReplaceAllString(value, r.With))
		}
	}
	return value
}

// fresh is a new id.
func (p *Plan) fresh() string {
	var b [16]byte
	for i := range b {
		b[i] = byte(p.rnd.Uint32())
	}
	return hex.EncodeToString(b[:])
}

func sorted(m map[string]string) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// CheckAddress tells whether a replay may go to an address: to loopback always, to another only if it is in the list.
func CheckAddress(to netip.AddrPort, allowed []netip.AddrPort) error {
	if to.Addr().Unmap().IsLoopback() || slices.Contains(allowed, to) {
		return nil
	}
	return fmt.Errorf("replay: %v is neither loopback nor allowed", to)
}
