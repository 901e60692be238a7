package logic

const (
	hangLatencies   = 12.0 // an attempt is given up after this many mean latencies
	minHangFraction = 0.2  // but not before this fraction of the objective: any hiccup is many times a millisecond
)

// attempt is one attempt of a request at one endpoint.
type attempt struct {
	endpoint    *endpoint
	sentAt      int64
	zone, cell  int  // of the endpoint, as listed at the time of sending
	countedSlow bool // counted as slow before its end
	lightLoad   bool // sent while there were fewer attempts in flight than endpoints, if all replicas have as many
	mayHaveRun  bool // in flight, or ended without proof that it never ran
	inFlight    bool
}

// send selects an endpoint and forwards an attempt to it. It returns the cause if there is none to
// send to, and NoShedCause otherwise.
func (b *Balancer) send(now int64, h Host, q *request) ShedCause {
	e, cause := b.pickEndpoint(now, q)
	if cause != NoShedCause {
		return cause
	}
	a := &attempt{
		endpoint: e, sentAt: now, zone: e.Zone, cell: e.Cell, mayHaveRun: true, inFlight: true,
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

// timeout gives an attempt up when its answer would have no value, and before that where a retry
// may follow, so that a hung endpoint frees its slot. A probe leaves half of the time for the
// retry, unless attempts take longer than half.
func (b *Balancer) timeout(now int64, q *request) int64 {
	class := &b.settings.Classes[q.Class]
	left, mean := b.deadline(q)-now, b.classes[q.Class].latency.mean
	if class.Idempotency != NonIdempotent && len(q.attempts) < b.settings.MaxAttempts {
		hang := max(hangLatencies*mean, minHangFraction*float64(class.LatencyObjective))
		if b.selection.isProbe {
			hang = min(hang, max(float64(left)/2, mean))
		}
		left = min(left, int64(hang))
	}
	return max(left, 1)
}
