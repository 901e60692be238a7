package core

import "fernlanding/logic"

// HeaderField is one header field, its name in canonical form.
type HeaderField struct{ Name, Value string }

// Request is one request that a front has read completely. A front fills in the exported fields and
// hands it to one pool with Pool.Do; from then on it belongs to the pool. It contains no protocol's
// types: each front and upstream translates between its protocol and these fields.
type Request struct {
	logic.Request        // ID, class, tenant, ordering key and the client's deadline
	Method        string // GET, POST, ...
	Target        string // path and query as they are forwarded
	Host          string
	Header        []HeaderField // what is forwarded to the backend; nothing that concerns one connection
	Body          []byte

	// The pool's lock guards the fields below.

	answered     bool      // answer is final
	answer       Answer    // see Pool.answerLocked
	lastResponse *Response // of the last attempt that failed; nil: it brought none
	attempts     int       // that the module has decided on
	inFlight     *Attempt  // the one attempt that has not ended; nil: none
	pending      *Attempt  // the attempt that the goroutine in Pool.Do is to carry out next; nil: none
	expiry       timer     // answers the request when its time is up, whatever the module decides

	// wakeup is closed when answered or pending changes; nil while the goroutine in Pool.Do does
	// not wait.
	wakeup chan struct{}
	// released is closed when nothing is left of the request; nil: nobody waits for that.
	released chan struct{}
}

// wake wakes the goroutine in Pool.Do, if it waits. The pool's lock is held.
func (r *Request) wake() {
	if r.wakeup == nil {
		return
	}
	select {
	case <-r.wakeup: // closed already
	default:
		close(r.wakeup)
	}
}

// Verdict is the kind of a final answer.
type Verdict int

// The kinds of final answer. A front words each in its protocol.
const (
	Served      Verdict = iota // with a backend's response, unchanged
	Shed                       // by the module: a retry is harmless
	Failed                     // a retry may not be harmless; Response is what the last attempt brought, if anything
	Expired                    // as Failed, since the request's time is up
	Rejected                   // invalid for every backend: with a backend's response, or else a bad request
	Canceled                   // nobody waits for it, or the pool has ended: no answer is owed
	NotAdmitted                // the pool is closed and has done nothing with it: another pool may take it
)

// Response is a backend's complete response.
type Response struct {
	StatusCode int           // a status of RFC 9110, section 15
	Header     []HeaderField // what is forwarded to the client; nothing that concerns one connection or the framing
	Body       []byte
	Release    func() // returns the body's reservation of process memory; nil if it has none
}

// Close returns the response's reservation of memory. The last owner of a response calls it; a nil
// response is allowed.
func (r *Response) Close() {
	if r == nil || r.Release == nil {
		return
	}
	r.Release()
	r.Release = nil
}

// Answer is the one final answer to a request.
type Answer struct {
	Verdict    Verdict
	Response   *Response // may be nil; the receiver of the Answer closes it
	RetryAfter int64     // of Shed: retry after this many microseconds; 0: unknown
}
