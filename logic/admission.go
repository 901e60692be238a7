package logic

const (
	// Of client connections that cannot become more, one in spareConnectionsDivisor is kept free,
	// and minSpareConnections at least, if they are not more than half. A client that finds none
	// free reaches nobody and takes this replica for gone; a shed one has its connection back at
	// once. This serves a replica that is about to end, and any whose clients are bounded. It hurts
	// where few requests come: it then sheds what the last connections could have served.
	spareConnectionsDivisor = 8
	minSpareConnections     = 3

	maxRetryAfterFraction = 0.5 // of the objective: the longest Retry-After
)

// ShedCause is what a request was shed by.
type ShedCause int

// The causes of shedding.
const (
	NoShedCause    ShedCause = iota
	ByConnections            // no connection would be left for the next client
	ByTierLimit              // the tier's concurrency limit
	ByTenantQuota            // the tenant's quota
	ByClassLimit             // the class's concurrency limit
	ByDeadline               // the time left does not suffice
	ByNoEndpoint             // there is no endpoint that it may go to
	ByAttemptLimit           // it has had all its attempts
	ByRetryBudget            // the retry budget is spent
	ByOrdering               // its turn, by its key, would come too late
	BySlowStart              // only endpoints in slow start could have it, and they bear no more
	NumShedCauses  = iota
)

// String returns the cause in the words of the operators' pages.
func (c ShedCause) String() string {
	return [NumShedCauses]string{
		"none", "connections", "tier count", "tenant count", "class count", "time left", "no server",
		"attempts", "retry budget", "turn of its key", "cold servers",
	}[c]
}

// ShedCause returns, inside Host.Shed, what the request is shed by.
func (b *Balancer) ShedCause() ShedCause { return b.shedCause }

// admit checks the rules of FlowSlot in order and returns the first that rejects the request, or
// NoShedCause.
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

// spareConnections returns how many of so many client connections are kept free.
func spareConnections(connections int) int {
	return max(connections/spareConnectionsDivisor, min(minSpareConnections, connections/2))
}

// shed ends a request with a Retry-After that is spread, so that clients do not return together,
// and short enough for an answer within the objective.
func (b *Balancer) shed(now int64, h Host, q *request, cause ShedCause) {
	objective := b.settings.Classes[q.Class].LatencyObjective
	longest := min(b.settings.MaxRetryAfter, int64(maxRetryAfterFraction*float64(objective)))
	b.shedCause = cause
	h.Shed(q.ID, longest/2+b.rnd.Int64N(longest/2+1))
	b.finish(now, h, q)
}
