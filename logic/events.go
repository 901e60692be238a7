package logic

// State is the state of an endpoint in the endpoint list.
type State int

// The states of an endpoint.
const (
	Removed State = iota
	Ready
	Draining
)

// Endpoint is an entry of the endpoint list: a backend as the balancer sees it.
type Endpoint struct {
	ID        string
	Address   string // where attempts are sent; empty if unknown
	Zone      int
	Cell      int
	State     State
	Weight    float64 // relative weight, used if Settings.WeightedEndpoints is set
	StartedAt int64   // when its process last started, in microseconds; 0 means long ago
}

// UpdateKind is the kind of an update of the endpoint list.
type UpdateKind int

// The kinds of updates.
const (
	Delta          UpdateKind = iota // changed entries only
	Snapshot                         // complete list
	CachedSnapshot                   // complete list as last known, possibly stale
	UpdateFailed                     // failure of a poll or watch; the previous list stays in use
	// RestoredSnapshot is the complete list as an earlier process knew it. An address in it may
	// belong to another service by now. Until the next update, non-idempotent requests go only to
	// endpoints that have served a request.
	RestoredSnapshot
)

// Request is a request that a client has sent to this proxy.
type Request struct {
	ID             string
	Class          int    // index into Settings.Classes
	Tenant         int    // index into Settings.Tenants; an index out of range means no tenant
	Key            string // ordering key in an ordered class; may be empty
	ClientDeadline int64  // when the client stops waiting, in microseconds
	// ClientConnections is the number of open client connections if clients cannot open more, and 0
	// if they can. IdleClientConnections is how many of these carry no request.
	ClientConnections, IdleClientConnections int
}

// Status is the result of an attempt.
type Status int

// The statuses of an attempt. ConnectFailed and NotSent prove that the attempt did not run.
// Overloaded proves it unless Settings.RejectionMayHaveRun is set.
const (
	OK            Status = iota
	Error                // the endpoint responded with an error
	Overloaded           // the endpoint rejected the attempt because it is full or draining
	TimedOut             // no answer within the timeout passed to Host.Forward
	ConnectFailed        // no connection could be opened
	Reset                // the connection broke
	Canceled             // the request was canceled
	NotSent              // the attempt was never sent
)

// Outcome is the end of an attempt. There is exactly one Outcome for each Host.Forward.
type Outcome struct {
	ID      string // ID of the request
	Attempt int    // index of the attempt; 0 is the first attempt of the request
	Status  Status
	Latency int64 // duration of the attempt in microseconds
	// RequestDone is true if the request is over. Otherwise this proxy still has to give the final
	// answer.
	RequestDone bool
}

// Host carries out the decisions of a [Balancer]. A Balancer calls the methods of Host from
// within its event methods. A method of Host must return at once and must not call an event method.
type Host interface {
	// Forward sends an attempt to an endpoint and gives it up after timeout microseconds. 0 means
	// that the attempt may last until the client's deadline.
	Forward(id, endpoint string, timeout int64)
	// Shed ends a request without serving it. The client may safely retry after retryAfter
	// microseconds.
	Shed(id string, retryAfter int64)
	// Fail ends a request with an error, without stating that a retry is safe.
	Fail(id string)
	// SetTimer schedules a call of Balancer.Timer with the token after delay microseconds.
	SetTimer(delay int64, token string)
	// WatchEndpoints starts a watch of the endpoint list.
	WatchEndpoints()
	// Log writes a line to the operator's log.
	Log(line string)
}
