package config

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	minTime = time.Millisecond
	// MaxDrainGrace is the longest drain grace: what is sent later after a drain was told is lost.
	MaxDrainGrace = 250 * time.Millisecond
	// defaultCold is the default of ColdMultiple.
	defaultCold = 3
	// portionsSlack is what the portions of all tenants may be over 1 by the rounding of floats.
	portionsSlack = 1e-9
)

// services reads all services that are called.
func (x *decoder) services(s tomldoc.Scope) {
	names, scopes := s.Each("services")
	for i, v := range scopes {
		x.app.Services = append(x.app.Services, x.service(v, names[i]))
	}
	switch {
	case !s.Has("services") || len(s.V.Fields["services"].Keys) == 0 && s.V.Fields["services"].Kind == tomldoc.Table:
		s.Bad(rules.Missing, "services", "one service at least expected")
	case len(names) > MaxServices:
		s.Bad(rules.TooMany, "services", "%d services, %d expected at most", len(names), MaxServices)
	}
}

// service reads one service with its classes, its tenants and the source of its list.
func (x *decoder) service(s tomldoc.Scope, name string) *Service {
	Named(s, "", name)
	v := &Service{
		Name: name, PassAllStatuses: true, Trusted: s.Flag("trusted"),
		Connections: s.Whole("connections", 0, 1, 1<<20),
		MaxBody:     s.Whole("max_body", 64<<10, 0, MaxBody),
		MaxResponse: s.Whole("max_answer", 1<<20, 0, MaxBody),
	}
	v.DialTimeout = s.Span("dial_timeout", 200*time.Millisecond, minTime, MaxDeadline)
	v.IdleClose = s.Span("idle_close", 30*time.Second, 100*time.Millisecond, time.Hour)
	x.limits(s, v)
	v.SlowStartMultiple = defaultCold
	if x.version >= 2 {
		x.service2(s, v)
	}
	x.retryBudget(s, v)
	x.classes(s, v)
	x.tenants(s, v)
	x.source(s, v)
	s.Done()
	return v
}

// limits reads where the sidecar stands among those of its service, and the module's limits of the service.
func (x *decoder) limits(s tomldoc.Scope, v *Service) {
	v.Zones = s.Texts("zones")
	zone := s.Text("zone", "")
	if len(v.Zones) == 0 {
		v.Zones = []string{zone}
	}
	l := &v.Balancer
	*l = logic.Settings{
		Zones: len(v.Zones), Zone: slices.Index(v.Zones, zone),
		Replicas: int(s.Whole("siblings", 1, 1, 1<<20)), ReplicaIndex: int(s.Whole("ordinal", 0, 0, 1<<20)),
		Tier: int(s.Whole("tier", 0, 0, 64)), MaxAttempts: int(s.Whole("attempts", 3, 1, 16)),
		OrderingDelay:       micros(s.Span("order_settle", 0, 0, MaxDeadline)),
		RejectionMayHaveRun: s.Flag("full_may_run"),
		MaxRetryAfter:       micros(s.Span("retry_after", time.Second, 0, MaxDeadline)),
		DrainGrace:          micros(s.Span("drain_grace", MaxDrainGrace, 0, time.Minute)),
		SlowStartWindow:     micros(s.Span("cold", 0, 0, 10*time.Minute)), SlowStartMinCapacity: s.Number("start_capacity", 1, 0.01, 1),
		WeightedEndpoints: s.Flag("weighted"), MaxSendDelay: micros(v.DialTimeout),
	}
	if l.Zone < 0 {
		s.Bad(rules.UnknownZone, "zone", "one of zones expected: %s", strings.Join(v.Zones, ", "))
	}
	if l.DrainGrace > micros(MaxDrainGrace) {
		s.Bad(rules.DrainGrace, "drain_grace", "%v at most expected", MaxDrainGrace)
	}
	if l.MaxRetryAfter == 0 {
		s.Bad(rules.NoHint, "retry_after", "a time to come back expected")
	}
}

// retryBudget reads how many further attempts the service may get.
func (x *decoder) retryBudget(s tomldoc.Scope, v *Service) {
	b := s.Sub("retry_budget")
	v.Balancer.RetryBudgetWindow = micros(b.Span("span", 10*time.Second, 100*time.Millisecond, 10*time.Minute))
	v.Balancer.RetryBudgetMin = b.Number("free", 5, 0, 1e6)
	v.Balancer.RetryBudgetRatio = b.Number("share", 0.1, 0, 10)
	b.Done()
}

// tenants reads the tenants and their shares of the service.
func (x *decoder) tenants(s tomldoc.Scope, v *Service) {
	names, scopes := s.Each("tenants")
	portions := 0.0
	for i, t := range scopes {
		Named(t, "", names[i])
		v.Tenants = append(v.Tenants, names[i])
		before := len(s.Faults)
		one := logic.Tenant{CapacityFraction: t.Number("portion", 1, 0, 1), Quota: t.Number("quota", 0, 0, 1e9)}
		v.Balancer.Tenants = append(v.Balancer.Tenants, one)
		if len(s.Faults) == before {
			portions += one.CapacityFraction
		}
		t.Done()
	}
	if len(names) > 1 && portions > 1+portionsSlack { // one tenant alone may have it all by default
		s.Bad(rules.TenantShares, "tenants", "portions of 1 together expected, not %.4g", portions)
	}
}

// service2 reads what version 2 adds to a service.
func (x *decoder) service2(s tomldoc.Scope, v *Service) {
	if v.Owner = s.Text("owner", ""); s.Has("owner") {
		Named(s, "owner", v.Owner)
	}
	v.CapacityFraction = s.Number("share", 0, 0, 1)
	if v.SlowStartMultiple = s.Number("cold_multiple", defaultCold, 0, 100); v.SlowStartMultiple < 1 {
		s.Bad(rules.ColdMultiple, "cold_multiple", "1 at least expected: sidecars may send a cold backend all that it can do")
	}
	c := s.Sub("answers")
	v.Codes = Codes{Shed: code(c, "refused", 503, 429), Failed: code(c, "failed", 502, 500), Expired: code(c, "expired", 504, 502, 500)}
	c.Done()
}

// code reads one of some codes. The codes after which a client sends again at once promise that nothing has run.
func code(s tomldoc.Scope, field string, codes ...int64) int {
	s.Take(field)
	if !s.Has(field) || s.Get(field, tomldoc.Integer) == nil {
		return 0
	}
	n, err := parseInteger(s.V.Fields[field])
	if err == nil && slices.Contains(codes, n) {
		return int(n)
	}
	rule, words := rules.Range, make([]string, len(codes))
	if field != "refused" && slices.Contains([]int64{408, 425, 429, 503}, n) {
		rule = rules.RefusalCode
	}
	for i, c := range codes {
		words[i] = strconv.FormatInt(c, 10)
	}
	s.Bad(rule, field, "one of %s expected", strings.Join(words, ", "))
	return 0
}

// micros is a time as the module takes it.
func micros(d time.Duration) int64 { return d.Microseconds() }
