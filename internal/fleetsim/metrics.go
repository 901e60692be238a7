package fleetsim

import "fernlanding/logic"

const (
	slotLength      = 500_000 // microseconds; service is kept by slots of arrival
	minFreeOfExcess = 0.2     // shedding while this fraction of every tier is free is excess
)

// Metrics counts a day from its warm-up on. Requests are those of clients, with all their attempts.
type Metrics struct {
	Requests, Served, Late, Shed, Failed int

	Weight       float64 // sum of priority weights requested
	WeightServed float64 // and of those earned

	Attempts     int
	Work         float64 // begun, microseconds of a core of speed 1
	ShedAttempts int     // by any replica, of any attempt
	ShedCauses   [logic.NumShedCauses]int

	ExcessSheds        int     // by the first tier, while capacity was free in all tiers
	ExcessWeight       float64 // priority weight of these
	ExcessLimitsWeight float64 // the same without those that a tenant's quota shed
	ExcessCauses       [logic.NumShedCauses]int

	overloadedSamples, samples int       // of backends
	weight, weightServed       []float64 // by slots of arrival
}

// newMetrics returns the metrics of a day that has not begun.
func newMetrics(d *Day) Metrics {
	slots := int(d.Length.micros()/slotLength) + 1
	return Metrics{weight: make([]float64, slots), weightServed: make([]float64, slots)}
}

// requestArrived counts a client's request; nothing before warmup is counted but for the slots.
func (m *Metrics) requestArrived(r *clientRequest, warmup int64) {
	m.weight[r.arrivedAt/slotLength] += r.weight
	if r.arrivedAt >= warmup {
		m.Requests++
		m.Weight += r.weight
	}
}

// finalAnswer counts the final answer to a client.
func (s *simulation) finalAnswer(r *clientRequest, status answerStatus) {
	if r.answered {
		s.audit.violation("a client was answered twice")
		return
	}
	r.answered = true
	m, latency := &s.metrics, s.now-r.arrivedAt
	fraction := 0.0
	if status == served {
		fraction = s.day.Classes[r.class].earned(latency)
	}
	m.weightServed[r.arrivedAt/slotLength] += fraction * r.weight
	if r.arrivedAt < s.warmup {
		return
	}
	m.WeightServed += fraction * r.weight
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

// earned returns the fraction of its priority weight that an answer after the latency earns.
func (c *Class) earned(latency int64) float64 {
	switch {
	case latency <= c.LatencyObjective.micros():
		return 1
	case latency <= c.Deadline.micros():
		return c.LatePriorityFactor
	default:
		return 0
	}
}

// recordShed counts a request that a replica is shedding.
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
