package logic

// The ranks of endpoints in a selection. Only endpoints with the highest rank present are selected.
const (
	rankLast = iota
	rankFailing
	rankFirst
)

// selection is the state of the weighted random selection.
type selection struct {
	weights    []float64 // scratch space: weights of the first endpoints in endpointList.ready
	warmFactor float64   // mean occupancyFactor of the warm endpoints, for the current selection
	sinceProbe int       // attempts since the last one that went to a failing endpoint
	isProbe    bool      // whether the last selected endpoint is failing and probed while there are others
}

// candidates is the result of weighing endpoints.
type candidates struct {
	totalWeight float64
	rank        int     // rank of the endpoints that have a weight above 0
	capacity    float64 // sum of the slow start factors
	allCold     bool    // whether all endpoints are in slow start
}

// pickEndpoint selects a ready endpoint from the subset of this replica at random by weight. It
// returns the cause if it selects no endpoint, and NoShedCause otherwise.
func (b *Balancer) pickEndpoint(now int64, q *request) (*endpoint, ShedCause) {
	c := b.weighCandidates(now, q)
	e, cause := b.draw(b.rnd.Float64()*c.totalWeight), NoShedCause
	if e == nil {
		cause = ByNoEndpoint
	} else if c.allCold {
		capacity := c.capacity / float64(len(b.selection.weights))
		if b.rnd.Float64() > b.slowStartAdmission(now, capacity) {
			e, cause = nil, BySlowStart
		}
	}
	isFailing := e != nil && e.healthFor(q.Class) < failingHealth
	b.selection.isProbe = isFailing && c.rank == rankFirst
	b.selection.sinceProbe++
	if isFailing {
		b.selection.sinceProbe = 0
	}
	return e, cause
}

// weighCandidates weighs the endpoints of the subset. Failing endpoints rank below healthy ones
// unless a probe is due. Endpoints that may be draining, or that the request has already tried,
// rank last, however few attempts they hold. The subset is extended if it has too few warm and
// healthy endpoints, or none that the request may go to.
func (b *Balancer) weighCandidates(now int64, q *request) candidates {
	s := &b.selection
	s.weights = s.weights[:0]
	c, room := candidates{allCold: true}, b.subsetSize(now)
	if b.settings.CapSlowStartPreference {
		s.warmFactor = b.warmOccupancyFactor(now, int(room)+1)
	}
	for _, e := range b.endpoints.ready {
		if room <= 0 && c.totalWeight > 0 {
			break
		}
		factor := b.slowStartFactor(now, e)
		room -= e.healthFor(q.Class) * factor
		weight, rank := 0.0, b.selectionRank(now, q, e)
		if rank >= c.rank && b.retryAllowed(now, q, e) {
			weight = b.endpointWeight(now, e, q.Class)
		}
		if weight > 0 && rank > c.rank { // all endpoints so far have a lower rank
			clear(s.weights)
			c.totalWeight, c.rank = 0, rank
		}
		c.totalWeight += weight
		c.capacity += factor
		c.allCold = c.allCold && factor < 1
		s.weights = append(s.weights, weight)
	}
	return c
}

// draw returns the ready endpoint at which the cumulative weight exceeds x, or nil if no endpoint
// has a weight.
func (b *Balancer) draw(x float64) *endpoint {
	var last *endpoint
	for i, weight := range b.selection.weights {
		if weight > 0 {
			last = b.endpoints.ready[i]
			x -= weight
			if x < 0 {
				break
			}
		}
	}
	return last
}

// selectionRank returns the rank of an endpoint for a request.
func (b *Balancer) selectionRank(now int64, q *request, e *endpoint) int {
	switch {
	case q.triedOn(e), b.maybeDraining(now, e):
		return rankLast
	case e.healthFor(q.Class) < failingHealth && !b.allowProbe(q, e):
		return rankFailing
	}
	return rankFirst
}

// endpointWeight returns the weight of an endpoint in the selection. The weight depends on the
// listed weight, the learned latency and health, slow start, the zone, and the attempts of this
// replica that the endpoint holds. An endpoint in slow start may hold fewer attempts than others
// without having free capacity. With Settings.CapSlowStartPreference, such an endpoint is therefore
// preferred no more than the mean of the warm endpoints. Without this cap, once each warm endpoint
// holds an attempt of each replica, nearly all further attempts of all replicas would go to
// endpoints in slow start.
func (b *Balancer) endpointWeight(now int64, e *endpoint, class int) float64 {
	factor, free := b.slowStartFactor(now, e), occupancyFactor(float64(e.inFlight))
	if factor < 1 && b.settings.CapSlowStartPreference {
		warm := b.selection.warmFactor
		free = min(warm, occupancyFactor(float64(e.inFlight)/factor))
		// Under congestion, an endpoint in slow start is loaded without slowStartMargin, like the
		// warm endpoints.
		factor *= 1 + (1/slowStartMargin-1)*(1-warm)
	}
	weight := max(minHealth, e.healthFor(class)) / (e.relativeLatency * e.relativeLatency) * factor * free
	if b.settings.WeightedEndpoints && e.Weight > 0 {
		weight *= e.Weight
	}
	if e.Zone != b.settings.Zone { // attempts stay in the local zone unless it is slow
		weight *= b.spillover.weight
	}
	return weight
}

// occupancyFactor returns the factor of a weight for the number of attempts that an endpoint holds.
// The factor falls steeply, with the eighth power.
func occupancyFactor(inFlight float64) float64 {
	x := 1 / (1 + inFlight)
	x *= x
	x *= x
	return x * x
}

// warmOccupancyFactor returns the mean occupancyFactor of the warm endpoints among the first n
// ready endpoints, or 1 if none of them is warm.
func (b *Balancer) warmOccupancyFactor(now int64, n int) float64 {
	sum, warm := 0.0, 0.0
	for _, e := range b.endpoints.ready[:min(n, len(b.endpoints.ready))] {
		if b.slowStartFactor(now, e) == 1 {
			sum += occupancyFactor(float64(e.inFlight))
			warm++
		}
	}
	if warm == 0 {
		return 1
	}
	return sum / warm
}
