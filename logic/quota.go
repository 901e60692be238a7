package logic

import "math"

const (
	initialMultiple       = 2.0  // initial and maximum multiple of its quota that a tenant may use
	multipleAfterBadRound = 1.0  // maximum after a bad round: requests above the quotas are shed first
	minMultiple           = 0.2  // minimum of the multiple
	multipleStepBelowOne  = 0.15 // added after a good round below 1, where requests have their full value
	// Added after a good round from 1 on. Requests above the quotas have little value, and
	// congestion costs much.
	multipleStep = 0.1
	// The initial multiple in an inner tier, and its maximum after a bad round. Quotas count first
	// attempts, and the front tier has already shed requests.
	innerTierMultiple = 20.0

	poissonDeviations  = 2.0  // standard deviations above the mean of a Poisson count that random variation explains
	minWindowAdmission = 24.0 // a QPS window is extended until it admits this many requests
)

// tenantQuota is a rule of FlowSlot with QPS grade on the origin node: it limits the requests of
// one tenant that are admitted per second.
type tenantQuota struct {
	admitted slidingWindow   // each request weighs 1 over the quota multiple at its admission
	arrivals decayingCounter // all requests, admitted or not
}

// tenantOf returns the quota of the request's tenant. It returns nil if the request has no tenant,
// for which the rule of the tenant is skipped.
func (b *Balancer) tenantOf(q *request) *tenantQuota {
	if q.Tenant < 0 || q.Tenant >= len(b.tenants) {
		return nil
	}
	return &b.tenants[q.Tenant]
}

// tenantCanPass reports whether one more request of a tenant may start; tenant is the index of the
// tenant.
func (b *Balancer) tenantCanPass(now int64, t *tenantQuota, tenant int) bool {
	quota := b.quotas.fairRate * b.settings.Tenants[tenant].CapacityFraction
	allowance := b.poissonAllowance(now, tenant)
	return t.canPass(now, b.firstRequestAt, quota, b.quotas.multiple, allowance, b.rnd.Float64())
}

// canPass reports whether one more request may start at a multiple of a quota in requests per
// second. u is a random number in [0, 1). allowance is the probability that random variation above
// the quota is tolerated. This tolerance protects replicas with sparse traffic, where single
// requests fill the quota of a tenant. The window of one second is extended for a small quota, so
// that fractional quotas work. The window of a fresh replica is no longer than the lifetime of the
// replica, since the requests of a long window would otherwise pass at once.
//
// The window also holds requests admitted at other multiples. Each request counts as the fraction
// of the quota that it used at the multiple of its admission. With a count of 1 for each request,
// requests that passed at twice the quota would block all others for seconds after the multiple is
// cut to a half.
func (t *tenantQuota) canPass(now, firstRequestAt int64, quota, multiple, allowance, u float64) bool {
	rate := multiple * quota
	window := second
	for window < slidingWindowSpan && rate*float64(window/second) < minWindowAdmission &&
		now-firstRequestAt >= window {
		window *= 2
	}
	used := multiple * t.admitted.sum(now, window)
	fair := rate * float64(min(window, max(second, now-firstRequestAt))) / float64(second)
	return used+1 <= fair+u || u < allowance && used <= fair+poissonDeviations*math.Sqrt(fair)
}

// poissonAllowance returns the probability that random variation above the quota of a tenant is
// tolerated. The probability falls with the quota multiple, as attempts become slow. It is 0 if the
// tenant clearly sends more than its fraction of the quotas. While nothing is slow, the limit is
// the fraction of all requests at this replica if that is more, since traffic may move to this
// replica.
func (b *Balancer) poissonAllowance(now int64, tenant int) float64 {
	expected := b.quotas.fairRate * float64(min(now-b.firstRequestAt, decayTimeConstant)) / float64(second)
	if b.quotas.multiple >= 1 {
		expected = max(expected, b.arrivals.at(now))
	}
	expected *= b.settings.Tenants[tenant].CapacityFraction
	if b.tenants[tenant].arrivals.at(now) > expected+poissonDeviations*math.Sqrt(expected)+1 {
		return 0
	}
	return min(1, b.quotas.multiple/minCongestedMultiple)
}

// quotaMultiple is the multiple of its quota that each tenant may use. The multiple is learned from
// evidence of slowness.
type quotaMultiple struct {
	multiple      float64
	maxMultiple   float64
	afterBadRound float64 // maximum of the multiple after a bad round
	evidence      evidenceRound
	fairRate      float64 // requests per second within the quotas of all tenants, at one replica
}

// newQuotaMultiple returns the initial multiple; evidence is its empty round.
func newQuotaMultiple(s *Settings, evidence evidenceRound) quotaMultiple {
	m := quotaMultiple{multiple: initialMultiple, afterBadRound: multipleAfterBadRound, evidence: evidence}
	if s.Tier > 0 {
		m.multiple, m.afterBadRound = innerTierMultiple, innerTierMultiple
	}
	m.maxMultiple = m.multiple
	// A replica that carries more than its fraction of the traffic learns a higher multiple.
	for _, t := range s.Tenants {
		m.fairRate += t.Quota / float64(s.Replicas)
	}
	return m
}

// learn records an outcome.
func (m *quotaMultiple) learn(now, sentAt int64, slow bool) {
	v := m.evidence.add(now, sentAt, slow)
	switch {
	case v == good && m.multiple < 1:
		m.multiple = min(1, m.multiple+multipleStepBelowOne)
	case v == good:
		m.multiple = min(m.maxMultiple, m.multiple+multipleStep)
	case v.isBad():
		m.multiple = max(minMultiple, min(m.multiple, m.afterBadRound)*float64(v))
	}
}
