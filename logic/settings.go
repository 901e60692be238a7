package logic

import "fmt"

// Idempotency states whether a request of a class may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // carries an idempotency key: see Class.DedupScope and Class.DedupWindow
	NonIdempotent                      // must never run twice
)

// DedupScope is the group of endpoints that drop duplicates of an [IdempotentByKey] request between
// them.
type DedupScope int

// The dedup scopes.
const (
	DedupTier DedupScope = iota // all endpoints of the tier
	DedupZone                   // the endpoints of one zone
	DedupCell                   // the endpoints of one cell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective   int64   // an answer within this time earns the full priority weight; microseconds
	Deadline           int64   // a client waits no longer than this, all its attempts included; microseconds
	PriorityWeight     float64 // value of one request
	LatePriorityFactor float64 // fraction of the value that an answer between objective and deadline earns
	Idempotency        Idempotency

	// For IdempotentByKey: the endpoints that drop duplicates between them, and for how long after
	// the first attempt that may have run, in microseconds.
	DedupScope  DedupScope
	DedupWindow int64

	Ordered bool // requests with one key run one at a time, in the order of their arrival here
}

// Tenant describes one origin of requests.
type Tenant struct {
	CapacityFraction float64 // its fraction of the service's capacity
	Quota            float64 // requests per second inside its quota, over all replicas
}

// Settings configure a Balancer. They are handed to [New] and not changed afterwards. Durations are
// microseconds.
type Settings struct {
	Tier              int // the tier that this proxy sends to; 0 is the front
	Replicas          int // replicas of this proxy, this one included
	ReplicaIndex      int // this replica's number among them, from 0
	Zone              int // this proxy's zone
	Zones             int
	Classes           []Class
	Tenants           []Tenant // may be empty
	WatchEndpoints    bool     // the endpoint list comes only after Host.WatchEndpoints
	WeightedEndpoints bool     // Endpoint.Weight compares endpoints; otherwise it is ignored

	MaxAttempts         int   // attempts of one request at most, the first included
	OrderingDelay       int64 // for ordered classes: how long a key pauses after a timeout, reset or cancellation
	RejectionMayHaveRun bool  // Overloaded does not prove that an attempt never ran

	// In any RetryBudgetWindow the retries number at most RetryBudgetMin plus RetryBudgetRatio
	// times the requests that arrived in it. If RetryBudgetWindow is 0, no budget is stated and the
	// Balancer keeps its own.
	RetryBudgetWindow int64
	RetryBudgetMin    float64
	RetryBudgetRatio  float64

	// MaxSendDelay is the longest time from a retry's Host.Forward until it leaves, since a
	// connection may have to be opened. 0: it leaves at once.
	MaxSendDelay int64

	MaxRetryAfter int64 // the longest Retry-After that a client honors; 0: clients honor none
	DrainGrace    int64 // sends to a draining or removed endpoint must have stopped by then
	PollInterval  int64 // with WatchEndpoints: the longest time without a watch or a poll

	SlowStartMinCapacity float64 // fraction of its capacity that an endpoint starts with, at least
	SlowStartWindow      int64   // an endpoint is warm after this at the latest

	PriorityPerWork bool // Class.PriorityWeight is counted per unit of work, not per request

	CapSlowStartPreference bool // an endpoint in slow start is not preferred for holding fewer attempts than warm ones
}

// SettingsError reports a field of [Settings] that a Balancer cannot work with.
type SettingsError struct {
	Field   string // path below Settings, as in "Classes[1].Deadline"
	Problem string
}

// Error returns the field and what is wrong with it.
func (e *SettingsError) Error() string { return "logic: Settings." + e.Field + ": " + e.Problem }

// check is one condition on the settings.
type check struct {
	ok             bool
	field, problem string
}

// firstFailed returns the first check that does not hold as an error, its field below prefix.
func firstFailed(prefix string, checks []check) error {
	for _, c := range checks {
		if !c.ok {
			return &SettingsError{Field: prefix + c.field, Problem: c.problem}
		}
	}
	return nil
}

// nonNegative reports whether x is a number of 0 or more. It does not hold for NaN.
func nonNegative(x float64) bool { return x >= 0 }

// validate returns a [*SettingsError] for the first field that makes no sense, or nil.
func (s *Settings) validate() error {
	capacity := s.SlowStartMinCapacity
	err := firstFailed("", []check{
		{len(s.Classes) > 0, "Classes", "none given"},
		{s.Zones >= 1, "Zones", "fewer than one"},
		{s.Zone >= 0 && s.Zone < s.Zones, "Zone", "out of range"},
		{s.Replicas >= 1, "Replicas", "fewer than one"},
		{s.ReplicaIndex >= 0, "ReplicaIndex", "negative"},
		{s.Tier >= 0, "Tier", "negative"},
		{s.MaxAttempts >= 1, "MaxAttempts", "fewer than one"},
		{s.MaxSendDelay >= 0, "MaxSendDelay", "negative"},
		{s.MaxRetryAfter >= 0, "MaxRetryAfter", "negative"},
		{s.OrderingDelay >= 0, "OrderingDelay", "negative"},
		{s.RetryBudgetWindow >= 0, "RetryBudgetWindow", "negative"},
		{nonNegative(s.RetryBudgetMin), "RetryBudgetMin", "negative"},
		{nonNegative(s.RetryBudgetRatio), "RetryBudgetRatio", "negative"},
		{s.DrainGrace >= 0, "DrainGrace", "negative"},
		{s.PollInterval > 0 || s.PollInterval == 0 && !s.WatchEndpoints, "PollInterval", "not positive"},
		{nonNegative(capacity) && capacity <= 1, "SlowStartMinCapacity", "not within 0 and 1"},
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

// validate does for a class what [Settings.validate] does for the settings; prefix is its path.
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
