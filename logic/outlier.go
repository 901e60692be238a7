package logic

import "slices"

const (
	healthAfterOutlierFailure = 0.3  // fraction of its health kept after a failure that peers do not show
	healthGain                = 0.25 // fraction of the lost health that a success restores
	minHealth                 = 0.05 // left to a failing endpoint, for probes
	failingHealth             = 0.25 // an endpoint with less health than this gets probes only, while there are others

	outlierRatio = 2.0 // an endpoint is an outlier when it fails this many times as often as all
	minPeers     = 2   // peers that measure an endpoint, at least; otherwise all attempts do
	maxPeers     = 32  // and at most

	probeInterval     = 16 // attempts from one probe to the next
	scopedProbeFactor = 4  // times as many before a request has one whose retry may go to few others
)

// outlierState is the outlier detection of one endpoint, for all classes or for one.
type outlierState struct {
	health    float64 // fraction of its weight that is left
	errorRate float64 // moving average of failed attempts
	attempts  int     // evaluated
}

// evaluate takes one outcome, failure being 1 or 0. It reports whether the outcome is a failure
// while failures are more than the usual rate, which makes the endpoint an outlier.
func (o *outlierState) evaluate(failure, usualRate float64) bool {
	o.attempts++
	o.errorRate += (failure - o.errorRate) * healthGain
	if failure == 0 {
		o.health += (1 - o.health) * healthGain
		return false
	}
	isOutlier := o.errorRate > usualRate
	if isOutlier {
		o.health = max(minHealth, o.health*healthAfterOutlierFailure)
	}
	return isOutlier
}

// updateOutlierState updates an endpoint's health by an outcome and reports whether that is a failure
// of its own. A failure that its peers show as well comes from a deeper tier and counts against the
// limits. A refused connection is always the endpoint's own: in a lost zone all peers refuse alike,
// and none would be an outlier. An error that was answered concerns its class only, so that endpoints
// that fail one class are not lost to all; silence concerns the whole endpoint.
func (b *Balancer) updateOutlierState(e *endpoint, class int, status Status) bool {
	c, failure := &b.classes[class], indicator(status != OK)
	b.errorRate += (failure - b.errorRate) * ewmaGain
	c.errorRate += (failure - c.errorRate) * ewmaGain
	isOutlier := false
	if status == ConnectFailed {
		isOutlier = e.outlier.evaluate(failure, 0)
	} else if status != Error {
		usual := b.peerErrorRate(e, b.errorRate, func(p *endpoint) *outlierState { return &p.outlier })
		isOutlier = e.outlier.evaluate(failure, outlierRatio*usual)
	}
	if status == Error || status == OK {
		usual := b.peerErrorRate(e, c.errorRate, func(p *endpoint) *outlierState { return &p.classOutliers[class] })
		isOutlier = e.classOutliers[class].evaluate(failure, outlierRatio*usual)
	}
	return isOutlier
}

// indicator returns 1 if x, else 0: one observation of a moving average.
func indicator(x bool) float64 {
	if x {
		return 1
	}
	return 0
}

// peerErrorRate returns the error rate that an endpoint's peers show: their median, so that an
// endpoint that fails at once, and draws attempts by it, is not its own measure. It is never more
// than the rate over all attempts.
func (b *Balancer) peerErrorRate(e *endpoint, overall float64, stateOf func(*endpoint) *outlierState) float64 {
	b.peerRates = b.peerRates[:0]
	for _, peer := range b.endpoints.ready[:min(len(b.endpoints.ready), maxPeers)] {
		o := stateOf(peer)
		if peer != e && o.attempts > 0 {
			b.peerRates = append(b.peerRates, o.errorRate)
		}
	}
	if len(b.peerRates) < minPeers {
		return overall
	}
	slices.Sort(b.peerRates)
	return min(overall, b.peerRates[len(b.peerRates)/2])
}

// allowProbe reports whether a failing endpoint may have this attempt, to show whether it still
// fails. One that fails at once is always empty, and would draw most attempts by that; so one
// attempt in so many goes out as a probe, and none of a non-idempotent request. A request whose
// retry may go to few others is a probe only where those that may be retried anywhere are rare.
func (b *Balancer) allowProbe(q *request, e *endpoint) bool {
	class, interval := &b.settings.Classes[q.Class], probeInterval
	if !class.retriesAnywhere() {
		interval *= scopedProbeFactor
	}
	return len(q.attempts) == 0 && class.Idempotency != NonIdempotent && b.selection.sinceProbe >= interval &&
		e.inFlight == 0
}
