package logic

// The ranks of endpoints, in the order in which they come into question; the highest goes first.
const (
	rankLast = iota
	rankFailing
	rankFirst
)

// selection is the state of the weighted random selection.
type selection struct {
	weights    []float64 // scratch space: of the first ready endpoints, in their order
	warmFactor float64   // mean occupancyFactor of the warm endpoints, at the present selection
	sinceProbe int       // attempts since the last one that went to a failing endpoint
	isProbe    bool      // the endpoint that was selected last is a failing one, probed while there are others
}

// candidates is what the weights of a selection come to.
type candidates struct {
	totalWeight float64
	rank        int     // of those that have weight
	capacity    float64 // sum of their slow start factors
	allCold     bool    // all of them are in slow start
}

// pickEndpoint selects a ready endpoint of this replica's subset at random by weight. It returns
// the cause if there is none, and NoShedCause otherwise.
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

// weighCandidates weighs the endpoints of the subset. Failing ones come after all others, and those
// that the request has tried come last, however empty they are. The subset grows where it has too
// few warm and healthy endpoints, or none that the request may go to.
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
		if weight > 0 && rank > c.rank { // all before this one come after it
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

// draw returns the ready endpoint at which the sum of weights passes x, or nil if none has weight.
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

// endpointWeight returns an endpoint's weight in the selection: its size, what was learned of it,
// its slow start, its zone, and the attempts of this replica that it already holds. That one in
// slow start holds fewer than others is no sign of capacity: with Settings.ColdEvenly it is not
// preferred for it over the mean of the warm ones. Otherwise, once each warm one holds an attempt
// of each replica, nearly all further attempts of all replicas would go to those in slow start.
func (b *Balancer) endpointWeight(now int64, e *endpoint, class int) float64 {
	factor, free := b.slowStartFactor(now, e), occupancyFactor(float64(e.inFlight))
	if factor < 1 && b.settings.CapSlowStartPreference {
		warm := b.selection.warmFactor
		free = min(warm, occupancyFactor(float64(e.inFlight)/factor))
		factor *= 1 + (1/slowStartMargin-1)*(1-warm) // under congestion it is loaded as they are, and not spared
	}
	weight := max(minHealth, e.healthFor(class)) / (e.relativeLatency * e.relativeLatency) * factor * free
	if b.settings.WeightedEndpoints && e.Weight > 0 {
		weight *= e.Weight
	}
	if e.Zone != b.settings.Zone { // attempts stay in the local zone while it copes
		weight *= b.spillover.weight
	}
	return weight
}

// occupancyFactor returns how a weight falls with the attempts that an endpoint holds: sharply, by
// the eighth power.
func occupancyFactor(inFlight float64) float64 {
	x := 1 / (1 + inFlight)
	x *= x
	x *= x
	return x * x
}

// warmOccupancyFactor returns the mean occupancyFactor of the warm endpoints among the first n; 1
// if there is none.
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
