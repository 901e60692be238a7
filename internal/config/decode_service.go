package config

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

const (
	minDuration = time.Millisecond
	// MaxDrainGrace is the longest drain grace. Requests sent later after the notification of a
	// drain are lost.
	MaxDrainGrace = 250 * time.Millisecond
	// defaultSlowStartMultiple is the default of Service.SlowStartMultiple.
	defaultSlowStartMultiple = 3
	// fractionSlack is the rounding error of floats by which the sum of the capacity fractions of
	// all tenants may exceed 1.
	fractionSlack = 1e-9
)

// services decodes all services that the application calls.
func (dec *decoder) services(root tomldoc.Scope) {
	names, scopes := root.Tables("services")
	for i, scope := range scopes {
		dec.app.Services = append(dec.app.Services, dec.service(scope, names[i]))
	}
	table := root.Value.Fields["services"]
	switch {
	case table == nil, len(table.Keys) == 0 && table.Kind == tomldoc.Table:
		root.ReportField(rules.Missing, "services", "must contain at least one service")
	case len(names) > MaxServices:
		root.ReportField(rules.TooMany, "services",
			"table of %d services exceeds the limit of %d", len(names), MaxServices)
	}
}

// service decodes one service with its classes, its tenants and the source of its endpoint list.
func (dec *decoder) service(scope tomldoc.Scope, name string) *Service {
	CheckName(scope, "", name)
	s := &Service{
		Name: name, PassAllStatuses: true, Trusted: scope.Bool("trusted"),
		Connections: scope.Int("connections", 0, 1, 1<<20),
		MaxBody:     scope.Int("max_body", 64<<10, 0, MaxBody),
		MaxResponse: scope.Int("max_answer", 1<<20, 0, MaxBody),
	}
	s.DialTimeout = scope.Duration("dial_timeout", 200*time.Millisecond, minDuration, MaxDeadline)
	s.IdleTimeout = scope.Duration("idle_close", 30*time.Second, 100*time.Millisecond, time.Hour)
	dec.balancer(scope, s)
	s.SlowStartMultiple = defaultSlowStartMultiple
	if dec.version >= 2 {
		dec.serviceVersion2(scope, s)
	}
	dec.retryBudget(scope, s)
	dec.classes(scope, s)
	dec.tenants(scope, s)
	dec.source(scope, s)
	scope.ReportUnknown()
	return s
}

// balancer decodes the settings of the module for the service: the zones, the sidecar's index among
// the replicas, and the limits.
func (dec *decoder) balancer(scope tomldoc.Scope, s *Service) {
	s.Zones = scope.Strings("zones")
	zone := scope.Text("zone", "")
	if len(s.Zones) == 0 {
		s.Zones = []string{zone}
	}
	s.Balancer = logic.Settings{
		Zones:                len(s.Zones),
		Zone:                 slices.Index(s.Zones, zone),
		Replicas:             int(scope.Int("siblings", 1, 1, 1<<20)),
		ReplicaIndex:         int(scope.Int("ordinal", 0, 0, 1<<20)),
		Tier:                 int(scope.Int("tier", 0, 0, 64)),
		MaxAttempts:          int(scope.Int("attempts", 3, 1, 16)),
		OrderingDelay:        scope.Duration("order_settle", 0, 0, MaxDeadline).Microseconds(),
		RejectionMayHaveRun:  scope.Bool("full_may_run"),
		MaxRetryAfter:        scope.Duration("retry_after", time.Second, 0, MaxDeadline).Microseconds(),
		DrainGrace:           scope.Duration("drain_grace", MaxDrainGrace, 0, time.Minute).Microseconds(),
		SlowStartWindow:      scope.Duration("cold", 0, 0, 10*time.Minute).Microseconds(),
		SlowStartMinCapacity: scope.Float("start_capacity", 1, 0.01, 1),
		WeightedEndpoints:    scope.Bool("weighted"),
		MaxSendDelay:         s.DialTimeout.Microseconds(),
	}
	if s.Balancer.Zone < 0 {
		scope.ReportField(rules.UnknownZone, "zone", "must be one of zones: %s", strings.Join(s.Zones, ", "))
	}
	if s.Balancer.DrainGrace > MaxDrainGrace.Microseconds() {
		scope.ReportField(rules.DrainGrace, "drain_grace", "must be at most %v", MaxDrainGrace)
	}
	if s.Balancer.MaxRetryAfter == 0 {
		scope.ReportField(rules.NoHint, "retry_after", "rejections have no Retry-After")
	}
}

// serviceVersion2 decodes the fields that version 2 of the format adds to a service.
func (dec *decoder) serviceVersion2(scope tomldoc.Scope, s *Service) {
	s.Owner = optionalName(scope, "owner")
	s.CapacityFraction = scope.Float("share", 0, 0, 1)
	s.SlowStartMultiple = scope.Float("cold_multiple", defaultSlowStartMultiple, 0, 100)
	if s.SlowStartMultiple < 1 {
		scope.ReportField(rules.ColdMultiple, "cold_multiple",
			"must be at least 1: sidecars may send a cold backend its full present capacity")
	}
	codes := scope.Table("answers")
	s.StatusCodes = StatusCodes{
		Shed:    statusCode(codes, "refused", 503, 429),
		Failed:  statusCode(codes, "failed", 502, 500),
		Expired: statusCode(codes, "expired", 504, 502, 500),
	}
	codes.ReportUnknown()
}

// retriedAtOnce are the status codes after which a client retries at once, because they state that
// nothing has run.
var retriedAtOnce = []int64{408, 425, 429, 503}

// statusCode decodes a status code that must be one of codes. statusCode returns 0 if the status
// code is missing or invalid.
func statusCode(scope tomldoc.Scope, field string, codes ...int64) int {
	scope.MarkKnown(field)
	if !scope.Has(field) || scope.Get(field, tomldoc.Integer) == nil {
		return 0
	}
	n, err := parseInteger(scope.Value.Fields[field])
	if err == nil && slices.Contains(codes, n) {
		return int(n)
	}
	rule := rules.Range
	if field != "refused" && slices.Contains(retriedAtOnce, n) {
		rule = rules.RefusalCode
	}
	words := make([]string, len(codes))
	for i, code := range codes {
		words[i] = strconv.FormatInt(code, 10)
	}
	scope.ReportField(rule, field, "must be one of %s", strings.Join(words, ", "))
	return 0
}

// retryBudget decodes the retry budget of a service.
func (dec *decoder) retryBudget(scope tomldoc.Scope, s *Service) {
	budget := scope.Table("retry_budget")
	window := budget.Duration("span", 10*time.Second, 100*time.Millisecond, 10*time.Minute)
	s.Balancer.RetryBudgetWindow = window.Microseconds()
	s.Balancer.RetryBudgetMin = budget.Float("free", 5, 0, 1e6)
	s.Balancer.RetryBudgetRatio = budget.Float("share", 0.1, 0, 10)
	budget.ReportUnknown()
}

// tenants decodes the tenants of a service and their quotas.
func (dec *decoder) tenants(scope tomldoc.Scope, s *Service) {
	names, scopes := scope.Tables("tenants")
	sum := 0.0
	for i, tenantScope := range scopes {
		CheckName(tenantScope, "", names[i])
		s.Tenants = append(s.Tenants, names[i])
		before := len(scope.Diagnostics)
		tenant := logic.Tenant{
			CapacityFraction: tenantScope.Float("portion", 1, 0, 1), Quota: tenantScope.Float("quota", 0, 0, 1e9),
		}
		s.Balancer.Tenants = append(s.Balancer.Tenants, tenant)
		if len(scope.Diagnostics) == before {
			sum += tenant.CapacityFraction
		}
		tenantScope.ReportUnknown()
	}
	if len(names) > 1 && sum > 1+fractionSlack { // the default of a tenant is 1, which is valid for a single tenant
		scope.ReportField(rules.TenantShares, "tenants", "sum of portions of %.4g exceeds the limit of 1", sum)
	}
}
