package settings

import (
	"fmt"

	"fernlanding/logic"
)

// object is the settings object in its JSON form. Times are in microseconds.
type object struct {
	Contract       contract `json:"contract"`
	PriorityUnit   string   `json:"counted_by"`
	Zones          []string `json:"failure_domains"`
	Limits         limits   `json:"limits"`
	MembershipMode string   `json:"membership_mode"`
	Zone           int      `json:"my_zone"`
	Classes        []class  `json:"profiles"`
	Replicas       int      `json:"siblings"`
	ReplicaIndex   int      `json:"ordinal"`
	Tier           int      `json:"stage"`
	Tenants        []tenant `json:"tenants"`
	WeightsMode    string   `json:"weights"`
}

// contract holds the settings that backends and proxies have agreed on.
type contract struct {
	PollInterval         int64   `json:"ask_every_us"`
	RejectionMayHaveRun  bool    `json:"busy_is_no_proof"`
	OrderingDelay        int64   `json:"order_settle_us"`
	RetryBudgetWindow    int64   `json:"ratio_span_us"`
	RetryBudgetRatio     float64 `json:"resend_ratio"`
	RetryBudgetMin       float64 `json:"spare_attempts"`
	SlowStartWindow      int64   `json:"cold_us"`
	DrainGrace           int64   `json:"drain_grace_us"`
	SlowStartMinCapacity float64 `json:"start_capacity"`
}

// limits holds bounds on requests and connections.
type limits struct {
	DialTimeout     int64 `json:"dial_timeout_us"`
	IdleTimeout     int64 `json:"idle_close_us"`
	MaxRetryAfter   int64 `json:"max_retry_after_us"`
	AllowRetryAfter bool  `json:"retry_after"`
	MaxAttempts     int   `json:"try_limit"`
}

// class holds the settings of one class of requests.
type class struct {
	Ordered            bool    `json:"by_arrival"`
	DedupScope         string  `json:"dedup_scope"`
	DedupWindow        int64   `json:"dedup_window_us"`
	Deadline           int64   `json:"give_up_us"`
	LatePriorityFactor float64 `json:"late_share"`
	Name               string  `json:"name"`
	LatencyObjective   int64   `json:"objective_us"`
	Idempotency        string  `json:"repeat"`
	PriorityWeight     float64 `json:"worth"`
}

// tenant holds a tenant's fraction of the capacity and its quota of requests per second.
type tenant struct {
	Name             string  `json:"name"`
	CapacityFraction float64 `json:"portion"`
	Quota            float64 `json:"quota_per_s"`
}

// The values of "membership_mode".
const (
	membershipPushed  = "automatic" // the endpoint list is pushed to the proxy
	membershipWatched = "subscribe" // the proxy watches the endpoint list
)

// idempotencies maps the values of "repeat".
var idempotencies = map[string]logic.Idempotency{
	"idempotent":   logic.Idempotent,
	"deduplicated": logic.IdempotentByKey,
	"at_most_once": logic.NonIdempotent,
}

// dedupScopes maps the values of "dedup_scope". A missing value means all backends of the tier.
var dedupScopes = map[string]logic.DedupScope{
	"":     logic.DedupTier,
	"all":  logic.DedupTier,
	"zone": logic.DedupZone,
	"cell": logic.DedupCell,
}

// balancerSettings converts the object to the settings of the balancer.
func (o *object) balancerSettings() (logic.Settings, error) {
	if o.MembershipMode != membershipPushed && o.MembershipMode != membershipWatched {
		return logic.Settings{}, unknownValueError("membership_mode", o.MembershipMode)
	}
	s := logic.Settings{
		Tier:                 o.Tier,
		Replicas:             o.Replicas,
		ReplicaIndex:         o.ReplicaIndex,
		Zone:                 o.Zone,
		Zones:                len(o.Zones),
		WatchEndpoints:       o.MembershipMode == membershipWatched,
		WeightedEndpoints:    o.WeightsMode != "" && o.WeightsMode != "off",
		MaxAttempts:          o.Limits.MaxAttempts,
		RejectionMayHaveRun:  o.Contract.RejectionMayHaveRun,
		OrderingDelay:        o.Contract.OrderingDelay,
		MaxSendDelay:         max(0, o.Limits.DialTimeout),
		RetryBudgetWindow:    o.Contract.RetryBudgetWindow,
		RetryBudgetMin:       o.Contract.RetryBudgetMin,
		RetryBudgetRatio:     o.Contract.RetryBudgetRatio,
		DrainGrace:           o.Contract.DrainGrace,
		PollInterval:         o.Contract.PollInterval,
		SlowStartMinCapacity: o.Contract.SlowStartMinCapacity,
		SlowStartWindow:      o.Contract.SlowStartWindow,
		PriorityPerWork:      o.PriorityUnit == "work",
	}
	if o.Limits.AllowRetryAfter {
		s.MaxRetryAfter = o.Limits.MaxRetryAfter
	}
	for i, c := range o.Classes {
		converted, err := c.balancerClass(fmt.Sprintf("profiles[%d]", i))
		if err != nil {
			return logic.Settings{}, err
		}
		s.Classes = append(s.Classes, converted)
	}
	for _, t := range o.Tenants {
		s.Tenants = append(s.Tenants, logic.Tenant{CapacityFraction: t.CapacityFraction, Quota: t.Quota})
	}
	return s, nil
}

// balancerClass converts a class to the balancer's type. path is the path of the class in the
// object.
func (c *class) balancerClass(path string) (logic.Class, error) {
	idempotency, ok := idempotencies[c.Idempotency]
	if !ok {
		return logic.Class{}, unknownValueError(path+".repeat", c.Idempotency)
	}
	scope, ok := dedupScopes[c.DedupScope]
	if !ok {
		return logic.Class{}, unknownValueError(path+".dedup_scope", c.DedupScope)
	}
	return logic.Class{
		LatencyObjective:   c.LatencyObjective,
		Deadline:           c.Deadline,
		PriorityWeight:     c.PriorityWeight,
		LatePriorityFactor: c.LatePriorityFactor,
		Idempotency:        idempotency,
		DedupScope:         scope,
		DedupWindow:        c.DedupWindow,
		Ordered:            c.Ordered,
	}, nil
}
