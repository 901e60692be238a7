package logic

import "hash/fnv"

// endpoint is an entry of the endpoint list and what was learned of it.
type endpoint struct {
	Endpoint
	hash            uint64
	inFlight        int            // attempts of this replica
	relativeLatency float64        // moving average of its latency over the mean of all
	outlier         outlierState   // over all classes
	classOutliers   []outlierState // of each class
	unverified      bool           // from a RestoredSnapshot, and neither listed nor known to serve since

	lastServedSentAt int64 // when the latest attempt was sent that it has served
	rejecting        bool  // it has rejected an attempt, and has served none that was sent since
	// When the first and the latest of the attempts ended that it has rejected since then.
	rejectingSince, lastRejectedAt int64
}

// reset drops what was learned of the endpoint.
func (e *endpoint) reset(classes int) {
	e.relativeLatency = 1
	e.outlier = outlierState{health: 1}
	e.classOutliers = make([]outlierState, classes)
	for i := range e.classOutliers {
		e.classOutliers[i].health = 1
	}
	e.rejecting = false
	e.lastServedSentAt = 0
}

// healthFor returns the fraction of its weight that outlier detection leaves the endpoint for a
// class.
func (e *endpoint) healthFor(class int) float64 {
	return e.outlier.health * e.classOutliers[class].health
}

// recordRejection takes the end of an attempt, and whether the endpoint rejected it. An attempt
// that was sent before the latest rejection does not show that the endpoint takes requests since.
func (e *endpoint) recordRejection(now, sentAt int64, rejected bool) {
	switch {
	case rejected && !e.rejecting:
		e.rejecting, e.rejectingSince, e.lastRejectedAt = true, now, now
	case rejected:
		e.lastRejectedAt = now
	case sentAt >= e.lastRejectedAt:
		e.rejecting = false
	}
}

// hashID returns a hash that orders endpoints alike at every replica, by nothing that their IDs may
// mean.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash.Hash never returns an error
	return h.Sum64()
}
