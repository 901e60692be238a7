package logic

import "math"

const (
	initialMultiple       = 2.0  // multiple of its quota that a tenant may pass before any evidence, and at most
	multipleAfterBadRound = 1.0  // and after a bad round at most: what is over the quotas goes first
	minMultiple           = 0.2  // and at least
	multipleStepBelowOne  = 0.15 // added after a good round below 1, where traffic is worth its full price
	// The same from 1 on: traffic over the quotas is worth little, congestion costs much.
	multipleStep = 0.1
	// In an inner tier, initially and after a bad round: quotas count first attempts, and the front
	// has shed already.
	innerTierMultiple = 20.0

	chanceDeviations   = 2.0  // standard deviations of a Poisson count above the mean that are taken for chance
	minWindowAdmission = 24.0 // a QPS window stretches until it admits this many requests
)

// tenantQuota is a rule of FlowSlot with QPS grade on the origin node: it limits the requests of
// one tenant that are admitted per second.
type tenantQuota struct {
	admitted slidingWindow   // a request weighs one over the quota multiple as it then was
	arrivals decayingCounter // requests, admitted or not
}

// tenantOf returns the quota of the request's tenant. Without a tenant it is nil and the rule is
// skipped.
func (b *Balancer) tenantOf(q *request) *tenantQuota {
	if q.Tenant < 0 || q.Tenant >= len(b.tenants) {
		return nil
	}
	return &b.tenants[q.Tenant]
}

// tenantCanPass reports whether one more request of a tenant may start; tenant is its index.
func (b *Balancer) tenantCanPass(now int64, t *tenantQuota, tenant int) bool {
	quota := b.quotas.fairRate * b.settings.Tenants[tenant].CapacityFraction
	chance := b.chanceAllowance(now, tenant)
	return t.canPass(now, b.firstRequestAt, quota, b.quotas.multiple, chance, b.rnd.Float64())
}

// canPass reports whether one more request may start at a quota per second times a multiple; u is a
// random number of [0, 1), and chance the probability that chance is allowed for. It stretches the
// one-second window of a small quota, so that fractional ones work. The window of a fresh replica
// is no longer than its life, or it would let a long window's worth through at once. Allowing for
// chance guards replicas with sparse traffic, where single requests fill a tenant's quota.
//
// The window holds what was admitted at other multiples too, each request by what it was of its
// multiple's quota: counted one for one, requests that passed at twice the quota would bar all
// others for seconds once the multiple is cut to a half.
func (t *tenantQuota) canPass(now, firstRequestAt int64, quota, multiple, chance, u float64) bool {
	rate := multiple * quota
	window := second
	for window < slidingWindowSpan && rate*float64(window/second) < minWindowAdmission &&
		now-firstRequestAt >= window {
		window *= 2
	}
	used := multiple * t.admitted.sum(now, window)
	fair := rate * float64(min(window, max(second, now-firstRequestAt))) / float64(second)
	return used+1 <= fair+u || u < chance && used <= fair+chanceDeviations*math.Sqrt(fair)
}

// chanceAllowance returns how likely chance is allowed for: less as attempts are late, and not at
// all if a tenant clearly sends more than its fraction of the quotas and, while nothing is slow, of
// what this replica gets, as traffic may move here.
func (b *Balancer) chanceAllowance(now int64, tenant int) float64 {
	expected := b.quotas.fairRate * float64(min(now-b.firstRequestAt, decaySpan)) / float64(second)
	if b.quotas.multiple >= 1 {
		expected = max(expected, b.arrivals.at(now))
	}
	expected *= b.settings.Tenants[tenant].CapacityFraction
	if b.tenants[tenant].arrivals.at(now) > expected+chanceDeviations*math.Sqrt(expected)+1 {
		return 0
	}
	return min(1, b.quotas.multiple/minCongestedMultiple)
}

// quotaMultiple is the multiple of its quota that each tenant may use, learned from evidence of
// slowness.
type quotaMultiple struct {
	multiple      float64
	maxMultiple   float64
	afterBadRound float64 // what a bad round leaves of it at most
	evidence      evidenceRound
	fairRate      float64 // requests per second of all tenants inside their quotas, at one replica
}

// newQuotaMultiple returns the multiple that a Balancer starts with; evidence is its empty round.
func newQuotaMultiple(s *Settings, evidence evidenceRound) quotaMultiple {
	m := quotaMultiple{multiple: initialMultiple, afterBadRound: multipleAfterBadRound, evidence: evidence}
	if s.Tier > 0 {
		m.multiple, m.afterBadRound = innerTierMultiple, innerTierMultiple
	}
	m.maxMultiple = m.multiple
	for _, t := range s.Tenants { // a replica that carries more than its fraction learns a higher multiple
		m.fairRate += t.Quota / float64(s.Replicas)
	}
	return m
}

// learn takes one outcome.
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
