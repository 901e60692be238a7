package logic

const (
	slowStartMargin       = 0.6  // fraction of its least capacity that an endpoint in slow start is given
	slowStartPriorSeconds = 0.25 // of its fair rate that a replica's own rate begins with
)

// slowStartFactor keeps rule 4: it guards against pushing an endpoint over that is warming up. Its
// weight is under the least capacity that an endpoint of its age has; that of a warm one is 1.
func (b *Balancer) slowStartFactor(now int64, e *endpoint) float64 {
	age := now - e.StartedAt
	if e.StartedAt == 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	minCapacity := b.settings.SlowStartMinCapacity
	progress := float64(max(age, 0)) / float64(b.settings.SlowStartWindow)
	return slowStartMargin * (minCapacity + (1-minCapacity)*progress)
}

// slowStartAdmission returns the fraction of the attempts that endpoints can take which are all in
// slow start; capacity is the mean of their slow start factors. Beside warm ones their weights see
// to it. Where there are none, after a release or a loss that all share, the replicas of this proxy
// would send them in sum what warm ones bear. Endpoints are held to be made for all that the
// tenants may ask for; a replica that is asked for less sends more of it, and at first it expects
// to be asked for its fair rate.
func (b *Balancer) slowStartAdmission(now int64, capacity float64) float64 {
	fairRate := b.quotas.fairRate
	if b.settings.Tier > 0 || fairRate == 0 {
		return 1 // nothing says how many attempts endpoints are made for
	}
	life := float64(min(now-b.firstRequestAt, decaySpan)) / float64(second)
	before := max(0, b.arrivals.at(now)-1) // the request at hand says nothing of a rate
	return capacity / slowStartMargin * fairRate * (life + slowStartPriorSeconds) /
		(before + fairRate*slowStartPriorSeconds)
}
