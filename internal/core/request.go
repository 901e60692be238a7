package core

import "fernlanding/logic"

// HeaderField is one header field. Name is in canonical form.
type HeaderField struct{ Name, Value string }

// Request is a request that a front has read completely. A front sets the exported fields and
// passes the request to one pool by [Pool.Do], after which the request belongs to the pool. A
// Request is independent of protocols: each front and upstream converts between its protocol and
// these fields.
type Request struct {
	logic.Request        // ID, class, tenant, ordering key and client deadline
	Method        string // GET, POST, ...
	Target        string // path and query as forwarded
	Host          string
	Header        []HeaderField // end-to-end fields, forwarded to the backend; no connection-specific fields
	Body          []byte
	// HasClientLeft reports whether the client no longer waits for the answer. The pool calls it just
	// before each attempt, without its lock. It may be nil.
	HasClientLeft func() bool

	// The pool's lock guards the fields below.

	answered     bool      // whether answer is final
	answer       Answer    // set by Pool.answerLocked
	lastResponse *Response // latest response of a failed attempt; nil if there was none
	attempts     int       // number of attempts that the balancer has decided on
	firstSentAt  int64     // time of the decision on the first attempt, in microseconds of the pool's clock
	inFlight     *Attempt  // the attempt that has not ended; may be nil
	pending      *Attempt  // the next attempt that the goroutine in Pool.Do executes; may be nil
	expiry       timer     // answers the request after its deadline if the balancer has not

	// wakeup is closed when answered or pending changes. It is nil while the goroutine in Pool.Do
	// is not waiting.
	wakeup chan struct{}
	// done is closed when the pool has released the request. It is nil if no other request waits
	// for that.
	done chan struct{}
}

// wake wakes the goroutine in Pool.Do if it is waiting. The caller holds the pool's lock.
func (r *Request) wake() {
	if r.wakeup == nil {
		return
	}
	select {
	case <-r.wakeup: // already closed
	default:
		close(r.wakeup)
	}
}

// Verdict is the kind of an [Answer].
type Verdict int

// The kinds of an Answer. A front expresses each kind in its protocol.
const (
	Served      Verdict = iota // served by a backend; Response is the backend's response, unchanged
	Shed                       // shed by the balancer; a retry by the client is safe
	Failed                     // a retry may be unsafe; Response is the latest of a failed attempt, if there was one
	Expired                    // the request's deadline has passed; a retry may be unsafe; Response is nil
	Rejected                   // invalid for every backend, or its ID is in use; a nil Response means a bad request
	Canceled                   // the client has gone or the pool has stopped; no answer is needed
	NotAdmitted                // the pool is closed and has done nothing; another pool may take the request
)

// Response is a backend's complete response.
type Response struct {
	StatusCode int           // status code of RFC 9110, section 15
	Header     []HeaderField // fields forwarded to the client; no connection-specific or framing fields
	Body       []byte
	Release    func() // releases the memory reserved for the body; nil if none is reserved
}

// Close releases the memory reserved for the response's body. The last owner of a response calls
// Close. The response may be nil.
func (r *Response) Close() {
	if r == nil || r.Release == nil {
		return
	}
	r.Release()
	r.Release = nil
}

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	Response   *Response // may be nil; closed by the receiver of the Answer
	RetryAfter int64     // delay before a retry, in microseconds, set for Shed; 0 means unknown
}
