package logic

const (
	slowStartMargin       = 0.6  // fraction of its least capacity that an endpoint in slow start receives
	slowStartPriorSeconds = 0.25 // seconds at the fair rate that the estimate of a replica's own rate begins with
)

// slowStartFactor keeps rule 4: it protects an endpoint that is warming up from overload. It
// returns the factor of the endpoint's weight. The factor is below the least capacity of an
// endpoint of this age, as a fraction of full capacity, and 1 for a warm endpoint.
func (b *Balancer) slowStartFactor(now int64, e *endpoint) float64 {
	age := now - e.StartedAt
	if e.StartedAt == 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	minCapacity := b.settings.SlowStartMinCapacity
	progress := float64(max(age, 0)) / float64(b.settings.SlowStartWindow)
	return slowStartMargin * (minCapacity + (1-minCapacity)*progress)
}

// slowStartAdmission returns the fraction of attempts to admit if all candidates are in slow start;
// capacity is the mean of their slow start factors. If there are warm endpoints, the weights alone
// limit the attempts at endpoints in slow start. Without warm endpoints, after a release or a loss
// that affects all of them, the replicas would together send the load of warm endpoints. The full
// capacity of the endpoints is assumed to be the sum of the quotas of all tenants. A replica that
// gets fewer requests than its fair rate admits a larger fraction of them. The initial estimate of
// a replica's rate is its fair rate.
func (b *Balancer) slowStartAdmission(now int64, capacity float64) float64 {
	fairRate := b.quotas.fairRate
	if b.settings.Tier > 0 || fairRate == 0 {
		return 1 // the load that the endpoints are made for is unknown
	}
	life := float64(min(now-b.firstRequestAt, decayTimeConstant)) / float64(second)
	before := max(0, b.arrivals.at(now)-1) // the current request is no evidence about the rate
	return capacity / slowStartMargin * fairRate * (life + slowStartPriorSeconds) /
		(before + fairRate*slowStartPriorSeconds)
}
