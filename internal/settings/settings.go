// Package settings reads the settings object that the simulator's first message and a real proxy's
// configuration share. Keys that it does not know are ignored.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"fernlanding/logic"
)

// Deployment is what the settings object says: the module's part and the names and figures of the sockets.
type Deployment struct {
	Balancer logic.Settings
	Classes  []string // names, in the order of Logic.Classes
	Tenants  []string // names, in the order of Logic.Tenants
	Zones    []string

	DialTimeout time.Duration // a connection that is not up by then has failed
	IdleClose   time.Duration // a backend closes a connection that has been idle this long
}

// object is the settings object as it stands on the wire.
type object struct {
	Contract struct {
		AskEvery      int64   `json:"ask_every_us"`
		BusyNoProof   bool    `json:"busy_is_no_proof"`
		OrderSettle   int64   `json:"order_settle_us"`
		RatioSpan     int64   `json:"ratio_span_us"`
		ResendRatio   float64 `json:"resend_ratio"`
		Spare         float64 `json:"spare_attempts"`
		Cold          int64   `json:"cold_us"`
		DrainGrace    int64   `json:"drain_grace_us"`
		StartCapacity float64 `json:"start_capacity"`
	} `json:"contract"`
	CountedBy string   `json:"counted_by"`
	Zones     []string `json:"failure_domains"`
	Limits    struct {
		DialTimeout   int64 `json:"dial_timeout_us"`
		IdleClose     int64 `json:"idle_close_us"`
		MaxRetryAfter int64 `json:"max_retry_after_us"`
		RetryAfter    bool  `json:"retry_after"`
		TryLimit      int   `json:"try_limit"`
	} `json:"limits"`
	Membership string `json:"membership_mode"`
	Zone       int    `json:"my_zone"`
	Profiles   []struct {
		ByArrival bool    `json:"by_arrival"`
		Scope     string  `json:"dedup_scope"`
		Window    int64   `json:"dedup_window_us"`
		GiveUp    int64   `json:"give_up_us"`
		LateShare float64 `json:"late_share"`
		Name      string  `json:"name"`
		Objective int64   `json:"objective_us"`
		Repeat    string  `json:"repeat"`
		Worth     float64 `json:"worth"`
	} `json:"profiles"`
	Siblings int `json:"siblings"`
	Ordinal  int `json:"ordinal"`
	Stage    int `json:"stage"`
	Tenants  []struct {
		Name    string  `json:"name"`
		Portion float64 `json:"portion"`
		Quota   float64 `json:"quota_per_s"`
	} `json:"tenants"`
	Weights string `json:"weights"`
}

// Decode reads a settings object. What the module needs is checked here; CheckSockets checks the rest.
func Decode(data []byte) (*Deployment, error) {
	var o object
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, err
	}
	site := &Deployment{
		Zones:       o.Zones,
		DialTimeout: time.Duration(o.Limits.DialTimeout) * time.Microsecond,
		IdleClose:   time.Duration(o.Limits.IdleClose) * time.Microsecond,
	}
	var err error
	if site.Balancer, err = o.logic(); err != nil {
		return nil, err
	}
	for _, p := range o.Profiles {
		site.Classes = append(site.Classes, p.Name)
	}
	for _, t := range o.Tenants {
		site.Tenants = append(site.Tenants, t.Name)
	}
	return site, nil
}

// CheckSockets tells what a proxy on real sockets lacks: names to know classes and tenants by, and the
// figures of its connections.
func (s *Deployment) CheckSockets() error {
	if s.DialTimeout <= 0 {
		return errors.New("limits.dial_timeout_us: not positive")
	}
	if s.IdleClose <= 0 {
		return errors.New("limits.idle_close_us: not positive")
	}
	if err := distinct("profiles", s.Classes); err != nil {
		return err
	}
	return distinct("tenants", s.Tenants)
}

func distinct(list string, names []string) error {
	seen := map[string]bool{}
	for i, n := range names {
		if n == "" || seen[n] {
			return fmt.Errorf("%s[%d].name: missing or given twice", list, i)
		}
		seen[n] = true
	}
	return nil
}

// logic turns the object into the module's settings.
func (o *object) logic() (logic.Settings, error) {
	repeats := map[string]logic.Idempotency{
		"idempotent": logic.Idempotent, "deduplicated": logic.IdempotentByKey, "at_most_once": logic.NonIdempotent,
	}
	groups := map[string]logic.DedupScope{
		"": logic.DedupTier, "all": logic.DedupTier, "zone": logic.DedupZone, "cell": logic.DedupCell,
	}
	s := logic.Settings{
		Tier: o.Stage, Replicas: o.Siblings, ReplicaIndex: o.Ordinal, Zone: o.Zone, Zones: len(o.Zones),
		WatchEndpoints: o.Membership == "subscribe", WeightedEndpoints: o.Weights != "" && o.Weights != "off",
		MaxAttempts: o.Limits.TryLimit, RejectionMayHaveRun: o.Contract.BusyNoProof,
		OrderingDelay: o.Contract.OrderSettle, MaxSendDelay: max(0, o.Limits.DialTimeout),
		RetryBudgetWindow: o.Contract.RatioSpan, RetryBudgetMin: o.Contract.Spare, RetryBudgetRatio: o.Contract.ResendRatio,
		DrainGrace:   o.Contract.DrainGrace,
		PollInterval: o.Contract.AskEvery, SlowStartMinCapacity: o.Contract.StartCapacity, SlowStartWindow: o.Contract.Cold,
		PriorityPerWork: o.CountedBy == "work",
	}
	if o.Membership != "automatic" && o.Membership != "subscribe" {
		return s, fmt.Errorf("membership_mode: unknown word %q", o.Membership)
	}
	if o.Limits.RetryAfter {
		s.MaxRetryAfter = o.Limits.MaxRetryAfter
	}
	for i, p := range o.Profiles {
		repeat, ok := repeats[p.Repeat]
		if !ok {
			return s, fmt.Errorf("profiles[%d].repeat: unknown word %q", i, p.Repeat)
		}
		group, ok := groups[p.Scope]
		if !ok {
			return s, fmt.Errorf("profiles[%d].dedup_scope: unknown word %q", i, p.Scope)
		}
		s.Classes = append(s.Classes, logic.Class{
			LatencyObjective: p.Objective, Deadline: p.GiveUp, PriorityWeight: p.Worth,
			LatePriorityFactor: p.LateShare, Idempotency: repeat, DedupScope: group, DedupWindow: p.Window,
			Ordered: p.ByArrival,
		})
	}
	for _, t := range o.Tenants {
		s.Tenants = append(s.Tenants, logic.Tenant{CapacityFraction: t.Portion, Quota: t.Quota})
	}
	return s, nil
}
