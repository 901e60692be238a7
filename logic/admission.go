package logic

const (
	// If clients cannot open more connections, one in spareConnectionsDivisor of their connections
	// is kept free, but no fewer than minSpareConnections or half of them, whichever is less. A
	// client that finds no free connection gets no answer and considers this replica failed, while
	// a shed request frees its connection at once. This helps a replica that is shutting down and
	// any replica with a bounded set of clients. The cost arises with few requests: the spare
	// connections could have served some of the requests that are shed.
	spareConnectionsDivisor = 8
	minSpareConnections     = 3

	maxRetryAfterFraction = 0.5 // longest Retry-After as a fraction of the latency objective
)

// ShedCause is the reason why a request is shed.
type ShedCause int

// The causes of shedding.
const (
	NoShedCause    ShedCause = iota
	ByConnections            // too few free client connections
	ByTierLimit              // concurrency limit of the tier
	ByTenantQuota            // quota of the tenant
	ByClassLimit             // concurrency limit of the class
	ByDeadline               // too little time left for an answer
	ByNoEndpoint             // no endpoint that the request may go to
	ByAttemptLimit           // no attempts left
	ByRetryBudget            // retry budget exhausted
	ByOrdering               // too long a wait for earlier requests with the same key
	BySlowStart              // only endpoints in slow start are eligible, and they are at their capacity
	NumShedCauses  = iota
)

// String returns the name of the cause that the operator documentation uses.
func (c ShedCause) String() string {
	return [NumShedCauses]string{
		"none", "connections", "tier count", "tenant count", "class count", "time left", "no server",
		"attempts", "retry budget", "turn of its key", "cold servers",
	}[c]
}

// ShedCause returns the cause for which the current request is shed. The result is valid only
// during a call of Host.Shed.
func (b *Balancer) ShedCause() ShedCause { return b.shedCause }

// admit checks the spare connections and then the rules of FlowSlot in order. It returns the cause
// for the first check that the request does not pass, or NoShedCause.
func (b *Balancer) admit(now int64, q *request) ShedCause {
	if q.IdleClientConnections < spareConnections(q.ClientConnections) {
		return ByConnections
	}
	if !b.tier.canPass(b.rnd.Float64()) {
		return ByTierLimit
	}
	if t := b.tenantOf(q); t != nil && !b.tenantCanPass(now, t, q.Tenant) {
		return ByTenantQuota
	}
	if !b.classes[q.Class].limit.canPass(b.rnd.Float64()) {
		return ByClassLimit
	}
	return NoShedCause
}

// spareConnections returns how many of the given number of client connections are kept free.
func spareConnections(connections int) int {
	return max(connections/spareConnectionsDivisor, min(minSpareConnections, connections/2))
}

// shed ends a request with a random Retry-After, so that clients do not all return at the same
// time. The Retry-After is short enough for the retry to be answered within the latency objective.
func (b *Balancer) shed(now int64, h Host, q *request, cause ShedCause) {
	objective := b.settings.Classes[q.Class].LatencyObjective
	longest := min(b.settings.MaxRetryAfter, int64(maxRetryAfterFraction*float64(objective)))
	b.shedCause = cause
	h.Shed(q.ID, longest/2+b.rnd.Int64N(longest/2+1))
	b.finish(now, h, q)
}
