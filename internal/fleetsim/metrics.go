package fleetsim

import "fernlanding/logic"

const (
	slotLength      = 500_000 // microseconds; service is recorded by time slot of the arrival
	minFreeOfExcess = 0.2     // shedding is excess if at least this fraction of every tier is free
)

// Metrics holds the counters of a day after its warm-up. Requests are client requests, each counted
// once with all its attempts.
type Metrics struct {
	Requests, Served, Late, Shed, Failed int

	RequestedWeight float64 // sum of the priority weights of all requests
	ServedWeight    float64 // sum of the priority weights earned by answers

	Attempts     int     // attempts at backends, including those during the warm-up
	Work         float64 // work started, including the warm-up, in microseconds of a core of speed 1
	ShedAttempts int     // requests shed by replicas of any tier
	ShedCauses   [logic.NumShedCauses]int

	ExcessSheds        int     // requests shed in the first tier while all tiers had free capacity
	ExcessWeight       float64 // priority weight of the excess sheds
	ExcessLimitsWeight float64 // priority weight of the excess sheds that no tenant quota caused
	ExcessCauses       [logic.NumShedCauses]int

	overloadedSamples, samples    int       // samples of backends
	requestedBySlot, servedBySlot []float64 // priority weight by time slot of the arrival
}

// newMetrics returns empty metrics for a day.
func newMetrics(d *Day) Metrics {
	slots := int(d.Length.micros()/slotLength) + 1
	return Metrics{requestedBySlot: make([]float64, slots), servedBySlot: make([]float64, slots)}
}

// requestArrived counts a client request. A request that arrives before the end of the warm-up
// counts only in its time slot.
func (m *Metrics) requestArrived(r *clientRequest, warmup int64) {
	m.requestedBySlot[r.arrivedAt/slotLength] += r.weight
	if r.arrivedAt >= warmup {
		m.Requests++
		m.RequestedWeight += r.weight
	}
}

// recordFinalAnswer counts the final answer to a client request.
func (s *simulation) recordFinalAnswer(r *clientRequest, status answerStatus) {
	if r.answered {
		s.audit.violation("a client was answered twice")
		return
	}
	r.answered = true
	m, latency := &s.metrics, s.now-r.arrivedAt
	fraction := 0.0
	if status == served {
		fraction = s.day.Classes[r.class].earnedFraction(latency)
	}
	m.servedBySlot[r.arrivedAt/slotLength] += fraction * r.weight
	if r.arrivedAt < s.warmup {
		return
	}
	m.ServedWeight += fraction * r.weight
	switch status {
	case shed:
		m.Shed++
	case failed:
		m.Failed++
	case served:
		if s.onServed != nil {
			s.onServed(latency)
		}
		m.Served++
		if fraction < 1 {
			m.Late++
		}
	}
}

// earnedFraction returns the fraction of the priority weight that an answer with the given latency
// in microseconds earns.
func (c *Class) earnedFraction(latency int64) float64 {
	switch {
	case latency <= c.LatencyObjective.micros():
		return 1
	case latency <= c.Deadline.micros():
		return c.LatePriorityFactor
	default:
		return 0
	}
}

// recordShed counts a request that a replica sheds.
func (s *simulation) recordShed(r *replica, q *request) {
	if s.now < s.warmup {
		return
	}
	m, cause := &s.metrics, r.balancer.ShedCause()
	m.ShedAttempts++
	m.ShedCauses[cause]++
	isExcess := r.tier == 0 && s.minFree() >= minFreeOfExcess
	if isExcess {
		m.ExcessSheds++
		m.ExcessWeight += q.client.weight
		if cause != logic.ByTenantQuota {
			m.ExcessLimitsWeight += q.client.weight
		}
		m.ExcessCauses[cause]++
	}
	if s.trace != nil {
		s.traceShed(r, q, cause, isExcess)
	}
}
