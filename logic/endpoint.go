package logic

import "hash/fnv"

// endpoint is an entry of the endpoint list and what was learned about it.
type endpoint struct {
	Endpoint
	hash            uint64
	inFlight        int            // attempts sent by this replica
	relativeLatency float64        // moving average of its latency relative to the mean of all endpoints
	outlier         outlierState   // for all classes together
	classOutliers   []outlierState // for each class
	unverified      bool           // from a RestoredSnapshot, with no update and no attempt served since

	lastServedSentAt int64 // when the latest attempt that it served was sent
	rejecting        bool  // whether it rejected an attempt and none sent since has ended otherwise
	// rejectingSince and lastRejectedAt are when the first and the latest of the rejected attempts
	// ended, since rejecting was set.
	rejectingSince, lastRejectedAt int64
}

// reset drops what was learned about the endpoint.
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

// healthFor returns the fraction of its weight that outlier detection leaves to the endpoint for a
// class.
func (e *endpoint) healthFor(class int) float64 {
	return e.outlier.health * e.classOutliers[class].health
}

// recordRejection records the end of an attempt, and whether the endpoint rejected it. An attempt
// that was sent before the latest rejection ended does not show that the endpoint accepts requests
// again.
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

// hashID returns the hash that orders endpoints on the ring. The order is the same at every replica
// and independent of any structure of the IDs.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Write of a hash.Hash never returns an error
	return h.Sum64()
}
