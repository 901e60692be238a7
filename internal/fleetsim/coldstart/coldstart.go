// Package coldstart simulates on a virtual clock how all replicas of a fleet start at once and poll
// their list services. Each replica uses the real start.PollScheduler. A run has no side effects.
// The list services are modeled: a service serves full polls in order of arrival at a fixed rate,
// also those whose replica has timed out, and rejects polls when its queue is full. Watches take no
// service time but are counted as calls.
package coldstart

import (
	"errors"
	"fmt"
	"time"
)

// Limits on the fields of a [Day].
const (
	MaxReplicas = 100_000
	MaxLength   = time.Hour

	maxServices = 1000
	maxRate     = 1e6
	maxQueue    = 1e6
)

// Day describes the start of one fleet, which [Run] simulates.
type Day struct {
	Replicas          int
	KnowsReplicas     bool          // whether each replica knows the number of replicas
	StartsWithList    bool          // whether the replicas start with a cached endpoint list
	ListAge           time.Duration // age of the cached list
	Services          int           // number of list services
	FullPollRate      float64       // full polls per second that each service serves
	QueueLength       int           // full polls that may wait at each service
	RetryAfter        time.Duration // Retry-After of a rejection; 0 means none
	ReplyLatency      time.Duration // mean network delay of a reply
	OutageAt          time.Duration // when all services go down; 0 means never
	OutageDuration    time.Duration
	RestartedFraction float64 // of the replicas, restarted in their initial state 1 s after OutageAt
	Length            time.Duration
	Seed              uint64
}

// FieldError reports a field of a [Day] whose value is out of range.
type FieldError struct {
	Field    string
	Found    any
	Expected string
}

// Error returns the field, its value and the allowed range.
func (e *FieldError) Error() string {
	return fmt.Sprintf("coldstart: %s: %v found, %s expected", e.Field, e.Found, e.Expected)
}

// errNegativeTime reports a negative RetryAfter or ReplyLatency.
var errNegativeTime = errors.New("coldstart: retry_after and reply: times of 0 or more expected")

// Validate returns an error for the first field whose value is out of range.
func (d *Day) Validate() error {
	for _, bound := range []struct {
		ok       bool
		field    string
		found    any
		expected string
	}{
		{d.Replicas >= 1 && d.Replicas <= MaxReplicas, "copies", d.Replicas, fmt.Sprintf("1 to %d", MaxReplicas)},
		{d.Services >= 1 && d.Services <= maxServices, "services", d.Services, "1 to 1000"},
		{d.FullPollRate > 0 && d.FullPollRate <= maxRate, "rate", d.FullPollRate, "more than 0 and at most 1e6"},
		{d.QueueLength >= 0 && d.QueueLength <= maxQueue, "queue", d.QueueLength, "0 to 1e6"},
		{d.Length > 0 && d.Length <= MaxLength, "end", d.Length, "more than 0 and at most " + MaxLength.String()},
		{
			d.OutageAt >= 0 && d.OutageDuration >= 0 && d.outageEnd() <= d.Length,
			"down", d.outageEnd(), "an outage within the day",
		},
		{d.RestartedFraction >= 0 && d.RestartedFraction <= 1, "killed", d.RestartedFraction, "0 to 1"},
	} {
		if !bound.ok {
			return &FieldError{Field: bound.field, Found: bound.found, Expected: bound.expected}
		}
	}
	if d.RetryAfter < 0 || d.ReplyLatency < 0 {
		return errNegativeTime
	}
	return nil
}

// outageEnd returns the time at which the services are up again.
func (d *Day) outageEnd() time.Duration { return d.OutageAt + d.OutageDuration }

// isDown reports whether the services are down at the given time.
func (d *Day) isDown(at time.Duration) bool {
	return d.OutageAt > 0 && at >= d.OutageAt && at < d.outageEnd()
}

// Result summarizes a simulated start. Calls are counted over all services. Times are in seconds,
// and infinite if the day ends first.
type Result struct {
	PeakFullPolls        float64 `json:"PeakReads"` // most full polls in one second
	PeakCalls            float64 `json:"PeakCalls"` // most calls of any kind in one second
	SteadyCalls          float64 `json:"Steady"`    // mean calls per second over the last quarter of the day
	PeakCallsAfterOutage float64 `json:"PeakBack"`  // most calls in one second after the outage
	FullPolls            int     `json:"Reads"`     // full polls sent
	TimedOut             int     `json:"GivenUp"`   // full polls that timed out at the replica
	Rejected             int     `json:"Refused"`   // calls that a service rejected on arrival
	Ready95              float64 `json:"Ready95"`   // time from the start until 95% of the replicas have a list
	ReadyAll             float64 `json:"ReadyAll"`  // time from the start until all replicas have a list

	// Recovered95 and RecoveredAll are the times from the outage's end until 95% or all of the
	// replicas that had no list by then have one.
	Recovered95  float64 `json:"Back95"`
	RecoveredAll float64 `json:"BackAll"`
}
