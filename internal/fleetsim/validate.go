package fleetsim

import (
	"fmt"
	"slices"
	"time"
)

// Limits on a day's description.
const (
	maxLength   = 10 * time.Minute
	maxBackends = 500 // per tier
	maxReplicas = 200
	maxTiers    = 5
	maxNames    = 64 // maximum each of classes, tenants and faults
	maxRequests = 1_000_000
	maxCalls    = 10_000_000 // calls to all tiers, without retries
)

// FieldError reports a field of a [Day] whose value is out of range.
type FieldError struct {
	Field    string // TOML path of the field, such as "tiers[0].copies"
	Found    any
	Expected string
}

// Error returns the field, its value and the allowed range.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %v, %s expected", e.Field, e.Found, e.Expected)
}

// bound is the result of checking one field.
type bound struct {
	ok       bool
	field    string
	found    any
	expected string
}

// checkBounds returns a [*FieldError] for the first bound that does not hold. The field of the
// error is prefixed with prefix.
func checkBounds(prefix string, bounds []bound) error {
	for _, b := range bounds {
		if !b.ok {
			return &FieldError{Field: prefix + b.field, Found: b.found, Expected: b.expected}
		}
	}
	return nil
}

// inRange reports whether x lies in the closed range from lo to hi. It returns false for NaN.
func inRange[T int | float64](x, lo, hi T) bool { return x >= lo && x <= hi }

// validate returns a [*FieldError] for the first field whose value is out of range, or an error if
// the day is too large to simulate.
func (d *Day) validate() error {
	for _, check := range []func() error{
		d.validateScalars, d.validateClasses, d.validateTenants, d.validateTiers, d.validateFaults, d.validateSize,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// validateScalars checks all fields that are not list elements.
func (d *Day) validateScalars() error {
	clients, network := &d.Clients, &d.Network
	return checkBounds("", []bound{
		{d.Length.within(time.Second, maxLength), "length", d.Length, "1s to 10m"},
		{d.Warmup.within(0, time.Duration(d.Length)), "warmup", d.Warmup, "0s to the length"},
		{inRange(d.Rate, 0, 1e5), "rate", d.Rate, "0 to 100000 a second"},
		{d.Rate > 0 || inRange(d.Load, 0.001, 5), "load", d.Load, "0.001 to 5, or a rate,"},
		{inRange(d.RateAmplitude, 0, 0.9), "wave", d.RateAmplitude, "0 to 0.9"},
		{inRange(d.Noise, 0, 2), "noise", d.Noise, "0 to 2"},
		{inRange(d.OverQuotaWeight, 0, 1), "over_worth", d.OverQuotaWeight, "0 to 1"},
		{inRange(d.Quota, 0.01, 5), "quota", d.Quota, "0.01 to 5"},
		{inRange(len(d.Classes), 1, maxNames), "classes", len(d.Classes), "1 to 64"},
		{len(d.Tenants) <= maxNames, "tenants", len(d.Tenants), "at most 64"},
		{len(d.Faults) <= maxNames, "trouble", len(d.Faults), "at most 64"},
		{inRange(len(d.Tiers), 1, maxTiers), "tiers", len(d.Tiers), "1 to 5"},
		{inRange(clients.Retries, 0, 10), "clients.retries", clients.Retries, "0 to 10"},
		{clients.Backoff.within(0, time.Minute), "clients.backoff", clients.Backoff, "0s to 1m"},
		{inRange(clients.HonorRetryAfter, 0, 1), "clients.honour", clients.HonorRetryAfter, "0 to 1"},
		{inRange(clients.AttemptTimeoutFraction, 0.05, 1), "clients.try", clients.AttemptTimeoutFraction, "0.05 to 1"},
		{network.Latency.within(time.Microsecond, time.Second), "network.hop", network.Latency, "1us to 1s"},
		{network.UpdateDelay.within(time.Millisecond, time.Minute), "network.notice", network.UpdateDelay, "1ms to 1m"},
	})
}

// validateClasses checks the classes.
func (d *Day) validateClasses() error {
	for i := range d.Classes {
		c := &d.Classes[i]
		known := slices.Contains([]string{idempotent, idempotentByKey, nonIdempotent}, c.Idempotency)
		needsWindow := c.Idempotency == idempotentByKey
		err := checkBounds(fmt.Sprintf("classes[%d].", i), []bound{
			{inRange(c.Share, 0, 1e6) && c.Share > 0, "share", c.Share, "more than 0"},
			{c.Work.within(time.Microsecond, time.Minute), "work", c.Work, "1us to 1m"},
			{inRange(c.CV, 0, 5), "cv", c.CV, "0 to 5"},
			{c.LatencyObjective.within(time.Millisecond, time.Minute), "aim", c.LatencyObjective, "1ms to 1m"},
			{
				c.Deadline >= c.LatencyObjective && c.Deadline.within(0, time.Minute),
				"deadline", c.Deadline, "the aim to 1m",
			},
			{inRange(c.LatePriorityFactor, 0, 1), "late_worth", c.LatePriorityFactor, "0 to 1"},
			{known, "repeat", c.Idempotency, "safe, keyed or unsafe"},
			{
				c.DedupWindow.within(0, time.Hour) && (!needsWindow || c.DedupWindow > 0),
				"window", c.DedupWindow, "more than 0s to 1h",
			},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// validateTenants checks the tenants.
func (d *Day) validateTenants() error {
	for i, t := range d.Tenants {
		err := checkBounds(fmt.Sprintf("tenants[%d].", i), []bound{
			{inRange(t.Share, 1e-6, 1e6), "share", t.Share, "more than 0"},
			{inRange(t.Usage, 0, 100), "usage", t.Usage, "0 to 100"},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// validateTiers checks the tiers.
func (d *Day) validateTiers() error {
	for i := range d.Tiers {
		prefix := fmt.Sprintf("tiers[%d].", i)
		if err := d.Tiers[i].validate(prefix); err != nil {
			return err
		}
		for j := range d.Tiers[i].Groups {
			if err := d.Tiers[i].Groups[j].validate(fmt.Sprintf("%skinds[%d].", prefix, j)); err != nil {
				return err
			}
		}
	}
	return nil
}

// validate checks a tier except for its groups. The prefix is the tier's TOML path.
func (t *Tier) validate(prefix string) error {
	total := 0
	for _, g := range t.Groups {
		total += max(0, min(g.Count, maxBackends+1))
	}
	return checkBounds(prefix, []bound{
		{inRange(total, 1, maxBackends), "kinds", total, "1 to 500 backends in all"},
		{inRange(t.Replicas, 1, maxReplicas), "copies", t.Replicas, "1 to 200"},
		{inRange(t.Work, 0.0001, 10), "work", t.Work, "0.0001 to 10"},
		{inRange(t.Calls, 0, 10), "calls", t.Calls, "0 to 10"},
		{inRange(t.Cells, 1, maxBackends), "cells", t.Cells, "1 to 500"},
		{inRange(t.OverloadAt, 0, 100), "over_at", t.OverloadAt, "0 to 100"},
		{t.OverloadWindow.within(100*time.Millisecond, time.Minute), "over_for", t.OverloadWindow, "100ms to 1m"},
		{t.Slowdown == 0 || inRange(t.Slowdown, 1, 100), "slower", t.Slowdown, "0, or 1 to 100"},
		{inRange(t.RecoverBelow, 0.01, 1), "below", t.RecoverBelow, "0.01 to 1"},
		{t.RecoverFor.within(0, time.Hour), "rest", t.RecoverFor, "0s to 1h"},
		{t.MaxOverload.within(time.Second, time.Hour), "most", t.MaxOverload, "1s to 1h"},
		{inRange(t.SlowStartCapacity, 0.01, 1), "cold_from", t.SlowStartCapacity, "0.01 to 1"},
		{t.SlowStartWindow.within(0, time.Hour), "warm", t.SlowStartWindow, "0s to 1h"},
	})
}

// validate checks a group of backends. The prefix is the group's TOML path.
func (g *BackendGroup) validate(prefix string) error {
	return checkBounds(prefix, []bound{
		{inRange(g.Count, 1, maxBackends), "count", g.Count, "1 to 500"},
		{inRange(g.Cores, 1, 256), "cores", g.Cores, "1 to 256"},
		{inRange(g.Speed, 0.01, 100), "speed", g.Speed, "0.01 to 100"},
		{inRange(g.Slots, g.Cores, 1e6), "slots", g.Slots, "the cores to 1000000"},
		{inRange(g.QueueLength, 0, 1e6), "waiting", g.QueueLength, "0 to 1000000"},
	})
}

// validateFaults checks the faults.
func (d *Day) validateFaults() error {
	for i := range d.Faults {
		f := &d.Faults[i]
		err := checkBounds(fmt.Sprintf("trouble[%d].", i), []bound{
			{
				slices.Contains(FaultKinds(), f.Kind),
				"kind", fmt.Sprintf("%q", f.Kind), fmt.Sprintf("one of %v", FaultKinds()),
			},
			{f.At.within(0, time.Duration(d.Length)), "at", f.At, "0s to the length"},
			{f.Duration.within(0, maxLength), "for", f.Duration, "0s to 10m"},
			{inRange(f.Tier, 0, len(d.Tiers)-1), "tier", f.Tier, fmt.Sprintf("0 to %d", len(d.Tiers)-1)},
			{inRange(f.Fraction, 0, 1), "part", f.Fraction, "0 to 1"},
			{inRange(f.First, 0, maxBackends-1), "first", f.First, "0 to 499"},
			{inRange(f.Factor, 0.01, 100), "times", f.Factor, "0.01 to 100"},
			{inRange(f.Share, 0, 1), "share", f.Share, "0 to 1"},
			{f.Class == "" || d.classIndex(f.Class) >= 0, "class", f.Class, "the name of a class"},
			{f.Tenant == "" || d.tenantIndex(f.Tenant) >= 0, "tenant", f.Tenant, "the name of a tenant"},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// validateSize checks the numbers of requests and calls, which bound the time of a simulation.
func (d *Day) validateSize() error {
	requests := d.RequestRate() * d.Length.Seconds() * d.maxBurstFactor()
	if requests > maxRequests {
		return fmt.Errorf("rate: found %.0f requests a day, at most %d expected", requests, maxRequests)
	}
	calls := requests * d.callsPerRequest()
	if calls > maxCalls {
		return fmt.Errorf("calls: found %.0f calls a day, at most %d expected", calls, maxCalls)
	}
	return nil
}
