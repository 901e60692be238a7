package logic

// State is the state of an endpoint according to the endpoint list.
type State int

// The states of an endpoint.
const (
	Removed State = iota
	Ready
	Draining
)

// Endpoint is an entry of the endpoint list: one backend as the balancer sees it.
type Endpoint struct {
	ID        string
	Zone      int
	Cell      int
	State     State
	Weight    float64 // see Settings.WeightedEndpoints
	StartedAt int64   // when its process last started, in microseconds; 0: long ago
}

// UpdateKind is the kind of an update of the endpoint list.
type UpdateKind int

// The kinds of update.
const (
	Delta          UpdateKind = iota // changed entries only
	Snapshot                         // the complete list
	CachedSnapshot                   // the complete list as last known, possibly stale
	UpdateFailed                     // a poll or the watch failed; the previous list stands
	// RestoredSnapshot is the complete list as an earlier process knew it: an address may be
	// another service's by now. Until an update comes, non-idempotent requests go only to endpoints
	// that have served a request.
	RestoredSnapshot
)

// Request is a request that a client has handed to this proxy.
type Request struct {
	ID             string
	Class          int    // index into Settings.Classes
	Tenant         int    // index into Settings.Tenants; out of range: the request has no tenant
	Key            string // what it is about, which orders it in an ordered class; may be empty
	ClientDeadline int64  // when the client abandons it, in microseconds
	// If its clients cannot open more connections: how many they have, and how many of these carry
	// no request. ClientConnections is 0 if they can.
	ClientConnections, IdleClientConnections int
}

// Status is how an attempt ended.
type Status int

// The statuses of an attempt. ConnectFailed and NotSent prove that it never ran, and so does
// Overloaded unless Settings.RejectionMayHaveRun is set.
const (
	OK            Status = iota
	Error                // the endpoint answered with an error
	Overloaded           // the endpoint rejected it because it is full or drains
	TimedOut             // no answer within the timeout of Host.Forward
	ConnectFailed        // no connection could be opened
	Reset                // the connection broke
	Canceled             // the request was canceled
	NotSent              // the attempt never left the proxy
)

// Outcome is the end of an attempt; each Host.Forward gets exactly one.
type Outcome struct {
	ID          string // the request's
	Attempt     int    // 0 for the first attempt of a request
	Status      Status
	Latency     int64 // time that the attempt took, in microseconds
	RequestDone bool  // the request is over; otherwise this proxy still owes the final answer
}

// Host carries out what a [Balancer] decides. Its methods are called from inside event methods;
// they must return at once and must not call back into an event method.
type Host interface {
	// Forward sends an attempt to an endpoint and gives it up after timeout microseconds; 0 stands
	// for the client's deadline.
	Forward(id, endpoint string, timeout int64)
	// Shed ends a request unserved. The client may safely retry after the given time in
	// microseconds.
	Shed(id string, retryAfter int64)
	// Fail ends a request without any promise.
	Fail(id string)
	// SetTimer asks for a call of Balancer.Timer with the token after delay microseconds.
	SetTimer(delay int64, token string)
	// WatchEndpoints opens the watch of the endpoint list.
	WatchEndpoints()
	// Log shows a line to on-call staff.
	Log(line string)
}
