// Package coldstart simulates the start of a complete fleet before its list services on a virtual
// clock: any number of replicas, each with the real start.PollScheduler. It is pure. What a list
// service does is a model: full polls are served in turn at a rate, one that is given up is served
// all the same, and those beyond the queue's length are rejected; watches cost it nothing but are
// counted.
package coldstart

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of a day.
const (
	MaxReplicas = 100_000
	MaxLength   = time.Hour

	maxServices = 1000
	maxRate     = 1e6
	maxQueue    = 1e6
)

// Day describes one start. [Run] simulates it.
type Day struct {
	Replicas          int
	KnowsReplicas     bool          // the replicas know how many they are
	HasList           bool          // they begin with a list
	ListAge           time.Duration // of that
	Services          int
	FullPollRate      float64       // full polls per second that each service serves
	QueueLength       int           // full polls that wait at it
	RetryAfter        time.Duration // of a rejection; 0: none
	ReplyLatency      time.Duration // mean time that an answer takes on its way
	OutageAt          time.Duration // when the services go down; 0: never
	OutageDuration    time.Duration
	RestartedFraction float64 // of the replicas, which restart a second after that as they began
	Length            time.Duration
	Seed              uint64
}

// FieldError reports a field of a [Day] that is out of its range.
type FieldError struct {
	Field    string
	Found    any
	Expected string
}

// Error returns the field, its value and what was expected.
func (e *FieldError) Error() string {
	return fmt.Sprintf("coldstart: %s: %v found, %s expected", e.Field, e.Found, e.Expected)
}

// errNegativeTime reports a negative time of the services.
var errNegativeTime = errors.New("coldstart: retry_after and reply: times of 0 or more expected")

// Validate returns an error for the first field that is out of its range.
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

// outageEnd returns when the services are up again.
func (d *Day) outageEnd() time.Duration { return d.OutageAt + d.OutageDuration }

// isDown reports whether the services are down at a time.
func (d *Day) isDown(at time.Duration) bool {
	return d.OutageAt > 0 && at >= d.OutageAt && at < d.outageEnd()
}

// Result is what a start came to. Calls are counted over all services, times are seconds.
type Result struct {
	PeakFullPolls        float64 `json:"PeakReads"` // in the worst second
	PeakCalls            float64 `json:"PeakCalls"` // of all kinds in the worst second
	SteadyCalls          float64 `json:"Steady"`    // of all kinds per second, in the mean of the last quarter
	PeakCallsAfterOutage float64 `json:"PeakBack"`  // of all kinds in the worst second from the outage's end on
	FullPolls            int     `json:"Reads"`
	GivenUp              int     `json:"GivenUp"`
	Rejected             int     `json:"Refused"`
	Ready95              float64 `json:"Ready95"`  // from the start until 95% have a list; infinite: not in this day
	ReadyAll             float64 `json:"ReadyAll"` // and until all have
	Recovered95          float64 `json:"Back95"`   // from the outage's end until 95% of those without a list have one
	RecoveredAll         float64 `json:"BackAll"`  // and until all of those have
}
