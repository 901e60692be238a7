package logic

import "fmt"

// Idempotency states whether a request of a class may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // carries an idempotency key: see Class.DedupScope and Class.DedupWindow
	NonIdempotent                      // must not run more than once
)

// DedupScope is the group of endpoints that share the detection of duplicates of an
// [IdempotentByKey] request.
type DedupScope int

// The dedup scopes.
const (
	DedupTier DedupScope = iota // all endpoints of the tier
	DedupZone                   // the endpoints of one zone
	DedupCell                   // the endpoints of one cell
)

// Class describes a class of requests.
type Class struct {
	// LatencyObjective is the response time in microseconds within which an answer earns the full
	// priority weight.
	LatencyObjective int64
	// Deadline is the longest time in microseconds that a client waits, over all attempts.
	Deadline       int64
	PriorityWeight float64 // value of one request answered within its latency objective
	// LatePriorityFactor is the fraction of PriorityWeight that an answer earns between
	// LatencyObjective and Deadline.
	LatePriorityFactor float64
	Idempotency        Idempotency

	// For IdempotentByKey, DedupScope is the group of endpoints that drop duplicates, and
	// DedupWindow is how long they do so, in microseconds from the first attempt that may have run.
	DedupScope  DedupScope
	DedupWindow int64

	// Ordered states that requests with the same key run one at a time, in the order of their
	// arrival at this proxy.
	Ordered bool
}

// Tenant describes a tenant, the origin of requests.
type Tenant struct {
	CapacityFraction float64 // fraction of the capacity of the service
	Quota            float64 // requests per second over all replicas that are within the quota
}

// Settings configure a Balancer. They are passed to [New] and do not change afterwards. Durations
// are in microseconds.
type Settings struct {
	Tier              int // tier that this proxy sends requests to; 0 is the front tier
	Replicas          int // number of replicas of this proxy, including this one
	ReplicaIndex      int // index of this replica among them, from 0
	Zone              int // zone of this proxy
	Zones             int
	Classes           []Class
	Tenants           []Tenant // may be empty
	WatchEndpoints    bool     // whether the endpoint list is updated only after Host.WatchEndpoints
	WeightedEndpoints bool     // whether selection uses Endpoint.Weight

	MaxAttempts int // maximum number of attempts of a request, including the first
	// OrderingDelay is how long a key of an ordered class pauses after a timeout, reset or
	// cancellation.
	OrderingDelay int64
	// RejectionMayHaveRun states that an attempt that ended as Overloaded may have run.
	RejectionMayHaveRun bool

	// In any period of RetryBudgetWindow, the number of retries is at most RetryBudgetMin plus
	// RetryBudgetRatio times the number of requests that arrived in it. If RetryBudgetWindow is 0,
	// the Balancer applies a default budget.
	RetryBudgetWindow int64
	RetryBudgetMin    float64
	RetryBudgetRatio  float64

	// MaxSendDelay is the maximum time between Host.Forward of a retry and its sending. Opening a
	// connection may cause a delay. 0 means that retries are sent at once.
	MaxSendDelay int64

	MaxRetryAfter int64 // longest Retry-After that clients honor; 0 means that they honor none
	DrainGrace    int64 // time after which no attempt may be sent to a draining or removed endpoint
	PollInterval  int64 // longest time without a watch or a poll, if WatchEndpoints is set

	// SlowStartMinCapacity is the smallest fraction of its capacity that an endpoint has when it
	// starts.
	SlowStartMinCapacity float64
	SlowStartWindow      int64 // time after which an endpoint is warm at the latest

	PriorityPerWork bool // whether Class.PriorityWeight is per unit of work, not per request

	// CapSlowStartPreference states that an endpoint in slow start is not preferred over warm
	// endpoints for holding fewer attempts.
	CapSlowStartPreference bool
}

// SettingsError reports an invalid field of [Settings].
type SettingsError struct {
	Field   string // path below Settings, such as "Classes[1].Deadline"
	Problem string
}

// Error returns the path of the field and what is wrong with its value.
func (e *SettingsError) Error() string { return "logic: Settings." + e.Field + ": " + e.Problem }

// check is a condition that a field of the settings has to meet.
type check struct {
	ok             bool
	field, problem string
}

// firstFailed returns a [*SettingsError] for the first check that fails, or nil. The path of the
// field begins with prefix.
func firstFailed(prefix string, checks []check) error {
	for _, c := range checks {
		if !c.ok {
			return &SettingsError{Field: prefix + c.field, Problem: c.problem}
		}
	}
	return nil
}

// nonNegative reports whether x is 0 or more. It returns false for NaN.
func nonNegative(x float64) bool { return x >= 0 }

// validate returns a [*SettingsError] for the first invalid field, or nil.
func (s *Settings) validate() error {
	capacity := s.SlowStartMinCapacity
	err := firstFailed("", []check{
		{len(s.Classes) > 0, "Classes", "empty"},
		{s.Zones >= 1, "Zones", "less than 1"},
		{s.Zone >= 0 && s.Zone < s.Zones, "Zone", "out of range"},
		{s.Replicas >= 1, "Replicas", "less than 1"},
		{s.ReplicaIndex >= 0, "ReplicaIndex", "negative"},
		{s.Tier >= 0, "Tier", "negative"},
		{s.MaxAttempts >= 1, "MaxAttempts", "less than 1"},
		{s.MaxSendDelay >= 0, "MaxSendDelay", "negative"},
		{s.MaxRetryAfter >= 0, "MaxRetryAfter", "negative"},
		{s.OrderingDelay >= 0, "OrderingDelay", "negative"},
		{s.RetryBudgetWindow >= 0, "RetryBudgetWindow", "negative"},
		{nonNegative(s.RetryBudgetMin), "RetryBudgetMin", "negative"},
		{nonNegative(s.RetryBudgetRatio), "RetryBudgetRatio", "negative"},
		{s.DrainGrace >= 0, "DrainGrace", "negative"},
		{s.PollInterval > 0 || s.PollInterval == 0 && !s.WatchEndpoints, "PollInterval", "not positive"},
		{nonNegative(capacity) && capacity <= 1, "SlowStartMinCapacity", "outside [0, 1]"},
		{s.SlowStartWindow >= 0, "SlowStartWindow", "negative"},
	})
	if err != nil {
		return err
	}
	for i, c := range s.Classes {
		if err := c.validate(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	for i, t := range s.Tenants {
		err := firstFailed(fmt.Sprintf("Tenants[%d].", i), []check{
			{nonNegative(t.CapacityFraction), "CapacityFraction", "negative"},
			{nonNegative(t.Quota), "Quota", "negative"},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// validate returns a [*SettingsError] for the first invalid field of the class, or nil. The path of
// the field begins with prefix.
func (c *Class) validate(prefix string) error {
	return firstFailed(prefix, []check{
		{c.LatencyObjective > 0, "LatencyObjective", "not positive"},
		{c.Deadline > 0, "Deadline", "not positive"},
		{nonNegative(c.PriorityWeight), "PriorityWeight", "negative"},
		{nonNegative(c.LatePriorityFactor), "LatePriorityFactor", "negative"},
		{c.Idempotency >= Idempotent && c.Idempotency <= NonIdempotent, "Idempotency", "unknown"},
		{c.DedupScope >= DedupTier && c.DedupScope <= DedupCell, "DedupScope", "unknown"},
		{c.DedupWindow >= 0, "DedupWindow", "negative"},
	})
}
