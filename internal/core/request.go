package core

import "fernlanding/logic"

// Field is one header field, its name in canonical form.
type Field struct{ Name, Value string }

// Request is one request that a front has read whole. A front fills in the exported fields and hands it to one
// pool; from then on it belongs to the pool. No protocol's types stand here: what a front knows of its protocol
// and an upstream of its own is put into these words.
type Request struct {
	logic.Request        // id, class, tenant, key, and when the client gives up
	Method        string // GET, POST, ...
	Target        string // path and query as they are to go on
	Host          string
	Header        []Field // what goes on to the backend; nothing that concerns one connection
	Body          []byte

	answer Answer
	last   *Response // of an attempt that failed
	over   bool
	sends  int
	out    *Attempt      // the one that is out
	next   *Attempt      // the one to be carried out, by the front's goroutine
	time   timer         // its end, whatever the module says
	news   chan struct{} // of answer or next, while the front's goroutine waits
	gone   chan struct{} // closed when nothing is left of it; nil: nobody waits for that
}

// Verdict is the kind of a final answer.
type Verdict int

// The kinds of final answer. A front words each in its protocol.
const (
	Served      Verdict = iota // with a backend's reply, unchanged
	Shed                       // by the module: trying again is harmless
	Failed                     // no such promise; Reply is what the last attempt brought, if anything
	Expired                    // the same, since the time is up
	Rejected                   // makes no sense, whoever gets it: with a backend's reply, or else it is a bad request
	Canceled                   // nobody waits for it, or the pool has ended: no answer is owed
	NotAdmitted                // the pool has closed and knew nothing of it: another may take it
)

// Response is a backend's answer, whole.
type Response struct {
	StatusCode int     // a status of RFC 9110, section 15
	Header     []Field // what goes on to the client; nothing that concerns one connection or the framing
	Body       []byte
	Release    func() // gives back what the body holds of the process's memory; nil if it is not counted
}

// Close is for whoever had the reply last. A nil reply is fine.
func (r *Response) Close() {
	if r != nil && r.Release != nil {
		r.Release()
		r.Release = nil
	}
}

// Answer is the one final answer to a request.
type Answer struct {
	Verdict    Verdict
	Response   *Response // may be nil; who gets the Answer calls its Done
	RetryAfter int64     // of Refused: come again after this, in microseconds; 0 for no word
}
