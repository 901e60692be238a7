package logic

const (
	hangLatencyFactor = 12.0 // mean latencies after which an attempt that may be retried times out
	// minHangFraction is the lower bound of the time after which an attempt times out, as a
	// fraction of the latency objective. Even a brief stall lasts many times a millisecond.
	minHangFraction = 0.2
)

// attempt is one attempt of a request at one endpoint.
type attempt struct {
	endpoint    *endpoint
	sentAt      int64
	zone, cell  int     // of the endpoint, as listed when the attempt was sent
	address     string  // of the endpoint, as listed when the attempt was sent
	startedAt   int64   // latest known start of an endpoint at the address
	takeovers   []place // of endpoints that have started at the address since
	countedSlow bool    // whether the attempt was counted as slow before its end
	// lightLoad is whether the attempt was sent with fewer attempts in flight than ready endpoints,
	// assuming that all replicas have equally many in flight.
	lightLoad  bool
	mayHaveRun bool // in flight, or ended without proof that it did not run
	inFlight   bool
}

// place is where an endpoint is: the members of a cell or of a zone may drop each other's duplicates.
type place struct{ zone, cell int }

// send selects an endpoint and forwards an attempt to it. It returns the cause if no endpoint can
// be selected, and NoShedCause otherwise.
func (b *Balancer) send(now int64, h Host, q *request) ShedCause {
	e, cause := b.pickEndpoint(now, q)
	if cause != NoShedCause {
		return cause
	}
	a := &attempt{
		endpoint: e, sentAt: now, zone: e.Zone, cell: e.Cell, mayHaveRun: true, inFlight: true,
		address: e.Address, startedAt: e.StartedAt,
		lightLoad: (b.tier.inFlight+1)*b.settings.Replicas <= len(b.endpoints.ready),
	}
	class := &b.classes[q.Class]
	q.attempts = append(q.attempts, a)
	if b.settings.Tier == 0 {
		class.pending = append(class.pending, a)
	}
	q.inFlight++
	e.inFlight++
	b.tier.enter()
	b.tierSent.add(now, 1)
	class.limit.enter()
	h.Forward(q.ID, e.ID, b.timeout(now, q))
	return NoShedCause
}

// timeout returns the time after which an attempt times out, in microseconds. The attempt ends at
// the latest when a response no longer has any value. The attempt ends earlier if a retry may
// follow, so that a hung endpoint frees its slot. A probe leaves half of the remaining time for the
// retry, unless the mean latency is longer than that half.
func (b *Balancer) timeout(now int64, q *request) int64 {
	class := &b.settings.Classes[q.Class]
	left, mean := b.deadline(q)-now, b.classes[q.Class].latency.mean
	if class.Idempotency != NonIdempotent && len(q.attempts) < b.settings.MaxAttempts {
		hang := max(hangLatencyFactor*mean, minHangFraction*float64(class.LatencyObjective))
		if b.selection.isProbe {
			hang = min(hang, max(float64(left)/2, mean))
		}
		left = min(left, int64(hang))
	}
	return max(left, 1)
}
