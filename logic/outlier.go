package logic

import "slices"

const (
	healthAfterOutlierFailure = 0.3  // factor of the health after a failure that peers do not show
	healthGain                = 0.25 // fraction of the lost health that a success restores
	minHealth                 = 0.05 // floor of the health, so that a failing endpoint gets probes
	failingHealth             = 0.25 // an endpoint below this health gets only probes if there are others

	outlierRatio = 2.0 // an outlier fails more than this many times as often as its peers
	minPeers     = 2   // minimum for a median of peers; with fewer, the rate over all attempts is used
	maxPeers     = 32  // maximum for a median of peers

	probeInterval     = 16 // attempts from one probe to the next
	scopedProbeFactor = 4  // factor of probeInterval if retries of the request may go to few endpoints
)

// outlierState is the state of outlier detection for one endpoint, for all classes or for one
// class.
type outlierState struct {
	health    float64 // remaining fraction of the weight
	errorRate float64 // moving average of the fraction of failed attempts
	attempts  int     // number of attempts evaluated
}

// observe records an outcome; failure is 1 or 0. It reports whether the endpoint is an outlier: the
// outcome is a failure, and the endpoint's error rate exceeds the usual rate.
func (o *outlierState) observe(failure, usualRate float64) bool {
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

// updateOutlierState updates the health of an endpoint by an outcome. It reports whether the
// outcome is a failure of the endpoint itself. A failure that its peers show as well comes from a
// deeper tier and counts against the limits. A refused connection always counts as a failure of the
// endpoint: when a zone is lost, all peers refuse connections alike, and no endpoint would be an
// outlier. An error response concerns only its class, so that endpoints that fail one class remain
// available to the others. Any other failure concerns the whole endpoint.
func (b *Balancer) updateOutlierState(e *endpoint, class int, status Status) bool {
	c, failure := &b.classes[class], indicator(status != OK)
	b.errorRate += (failure - b.errorRate) * ewmaGain
	c.errorRate += (failure - c.errorRate) * ewmaGain
	isOutlier := false
	if status == ConnectFailed {
		isOutlier = e.outlier.observe(failure, 0)
	} else if status != Error {
		usual := b.peerErrorRate(e, b.errorRate, func(p *endpoint) *outlierState { return &p.outlier })
		isOutlier = e.outlier.observe(failure, outlierRatio*usual)
	}
	if status == Error || status == OK {
		usual := b.peerErrorRate(e, c.errorRate, func(p *endpoint) *outlierState { return &p.classOutliers[class] })
		isOutlier = e.classOutliers[class].observe(failure, outlierRatio*usual)
	}
	return isOutlier
}

// indicator returns 1 if x is true and 0 otherwise, as an observation for a moving average.
func indicator(x bool) float64 {
	if x {
		return 1
	}
	return 0
}

// peerErrorRate returns the error rate that the peers of an endpoint show. The rate is their
// median, but at most the rate over all attempts. An endpoint that fails fast attracts attempts and
// would otherwise dominate the rate that it is compared with.
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

// allowProbe reports whether an attempt may go to a failing endpoint as a probe, to find out
// whether the endpoint still fails. An endpoint that fails fast holds no attempts and would attract
// most of them. Therefore only one attempt in probeInterval is a probe, and never one of a
// non-idempotent request. A request whose retries may go to few other endpoints is a probe only if
// requests that may be retried anywhere are rare.
func (b *Balancer) allowProbe(q *request, e *endpoint) bool {
	class, interval := &b.settings.Classes[q.Class], probeInterval
	if !class.retriesAnywhere() {
		interval *= scopedProbeFactor
	}
	return len(q.attempts) == 0 && class.Idempotency != NonIdempotent && b.selection.sinceProbe >= interval &&
		e.inFlight == 0
}
