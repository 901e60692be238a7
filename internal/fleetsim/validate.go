package fleetsim

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of a day's description.
const (
	maxLength   = 10 * time.Minute
	maxBackends = 500 // of a tier
	maxReplicas = 200
	maxTiers    = 5
	maxNames    = 64 // classes, tenants, faults
	maxRequests = 1_000_000
	maxCalls    = 10_000_000 // of all tiers, each request's first attempt
)

// FieldError reports a field of a [Day] that is out of its range.
type FieldError struct {
	Field    string // its path as in TOML, such as "tiers[0].copies"
	Found    any
	Expected string
}

// Error returns the field, its value and what was expected.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %v, %s expected", e.Field, e.Found, e.Expected)
}

// bound is one bound on one field.
type bound struct {
	ok       bool
	field    string
	found    any
	expected string
}

// firstOutside returns a [*FieldError] for the first bound that does not hold, its field below
// prefix.
func firstOutside(prefix string, bounds []bound) error {
	for _, b := range bounds {
		if !b.ok {
			return &FieldError{Field: prefix + b.field, Found: b.found, Expected: b.expected}
		}
	}
	return nil
}

// inside reports whether x lies between lo and hi, both included. It does not hold for NaN.
func inside[T int | float64](x, lo, hi T) bool { return x >= lo && x <= hi }

// validate returns a [*FieldError] for the first field that is out of its range.
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

// validateScalars checks the fields outside all lists.
func (d *Day) validateScalars() error {
	clients, network := &d.Clients, &d.Network
	return firstOutside("", []bound{
		{d.Length.within(time.Second, maxLength), "length", d.Length, "1s to 10m"},
		{d.Warmup.within(0, time.Duration(d.Length)), "warmup", d.Warmup, "0s to the length"},
		{inside(d.Rate, 0, 1e5), "rate", d.Rate, "0 to 100000 a second"},
		{d.Rate > 0 || inside(d.Load, 0.001, 5), "load", d.Load, "0.001 to 5, or a rate,"},
		{inside(d.Wave, 0, 0.9), "wave", d.Wave, "0 to 0.9"},
		{inside(d.Noise, 0, 2), "noise", d.Noise, "0 to 2"},
		{inside(d.OverQuotaWeight, 0, 1), "over_worth", d.OverQuotaWeight, "0 to 1"},
		{inside(d.Quota, 0.01, 5), "quota", d.Quota, "0.01 to 5"},
		{inside(len(d.Classes), 1, maxNames), "classes", len(d.Classes), "1 to 64"},
		{len(d.Tenants) <= maxNames, "tenants", len(d.Tenants), "at most 64"},
		{len(d.Faults) <= maxNames, "trouble", len(d.Faults), "at most 64"},
		{inside(len(d.Tiers), 1, maxTiers), "tiers", len(d.Tiers), "1 to 5"},
		{inside(clients.Retries, 0, 10), "clients.retries", clients.Retries, "0 to 10"},
		{clients.Backoff.within(0, time.Minute), "clients.backoff", clients.Backoff, "0s to 1m"},
		{inside(clients.HonorRetryAfter, 0, 1), "clients.honour", clients.HonorRetryAfter, "0 to 1"},
		{inside(clients.AttemptFraction, 0.05, 1), "clients.try", clients.AttemptFraction, "0.05 to 1"},
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
		err := firstOutside(fmt.Sprintf("classes[%d].", i), []bound{
			{inside(c.Share, 0, 1e6) && c.Share > 0, "share", c.Share, "more than 0"},
			{c.Work.within(time.Microsecond, time.Minute), "work", c.Work, "1us to 1m"},
			{inside(c.CV, 0, 5), "cv", c.CV, "0 to 5"},
			{c.LatencyObjective.within(time.Millisecond, time.Minute), "aim", c.LatencyObjective, "1ms to 1m"},
			{
				c.Deadline >= c.LatencyObjective && c.Deadline.within(0, time.Minute),
				"deadline", c.Deadline, "the aim to 1m",
			},
			{inside(c.LatePriorityFactor, 0, 1), "late_worth", c.LatePriorityFactor, "0 to 1"},
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
		err := firstOutside(fmt.Sprintf("tenants[%d].", i), []bound{
			{inside(t.Share, 1e-6, 1e6), "share", t.Share, "more than 0"},
			{inside(t.Usage, 0, 100), "usage", t.Usage, "0 to 100"},
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

// validate checks a tier but for its groups; prefix is its path.
func (t *Tier) validate(prefix string) error {
	total := 0
	for _, g := range t.Groups {
		total += max(0, min(g.Count, maxBackends+1))
	}
	return firstOutside(prefix, []bound{
		{inside(total, 1, maxBackends), "kinds", total, "1 to 500 backends in all"},
		{inside(t.Replicas, 1, maxReplicas), "copies", t.Replicas, "1 to 200"},
		{inside(t.Work, 0.0001, 10), "work", t.Work, "0.0001 to 10"},
		{inside(t.Calls, 0, 10), "calls", t.Calls, "0 to 10"},
		{inside(t.Cells, 1, maxBackends), "cells", t.Cells, "1 to 500"},
		{inside(t.OverloadAt, 0, 100), "over_at", t.OverloadAt, "0 to 100"},
		{t.OverloadWindow.within(100*time.Millisecond, time.Minute), "over_for", t.OverloadWindow, "100ms to 1m"},
		{t.Slowdown == 0 || inside(t.Slowdown, 1, 100), "slower", t.Slowdown, "0, or 1 to 100"},
		{inside(t.RecoverBelow, 0.01, 1), "below", t.RecoverBelow, "0.01 to 1"},
		{t.RecoverFor.within(0, time.Hour), "rest", t.RecoverFor, "0s to 1h"},
		{t.MaxOverload.within(time.Second, time.Hour), "most", t.MaxOverload, "1s to 1h"},
		{inside(t.SlowStartCapacity, 0.01, 1), "cold_from", t.SlowStartCapacity, "0.01 to 1"},
		{t.SlowStartWindow.within(0, time.Hour), "warm", t.SlowStartWindow, "0s to 1h"},
	})
}

// validate checks a group of backends; prefix is its path.
func (g *BackendGroup) validate(prefix string) error {
	return firstOutside(prefix, []bound{
		{inside(g.Count, 1, maxBackends), "count", g.Count, "1 to 500"},
		{inside(g.Cores, 1, 256), "cores", g.Cores, "1 to 256"},
		{inside(g.Speed, 0.01, 100), "speed", g.Speed, "0.01 to 100"},
		{inside(g.Slots, g.Cores, 1e6), "slots", g.Slots, "the cores to 1000000"},
		{inside(g.QueueLength, 0, 1e6), "waiting", g.QueueLength, "0 to 1000000"},
	})
}

// validateFaults checks the faults.
func (d *Day) validateFaults() error {
	for i := range d.Faults {
		f := &d.Faults[i]
		err := firstOutside(fmt.Sprintf("trouble[%d].", i), []bound{
			{
				slices.Contains(FaultKinds(), f.Kind),
				"kind", fmt.Sprintf("%q", f.Kind), fmt.Sprintf("one of %v", FaultKinds()),
			},
			{f.At.within(0, time.Duration(d.Length)), "at", f.At, "0s to the length"},
			{f.Duration.within(0, maxLength), "for", f.Duration, "0s to 10m"},
			{inside(f.Tier, 0, len(d.Tiers)-1), "tier", f.Tier, fmt.Sprintf("0 to %d", len(d.Tiers)-1)},
			{inside(f.Fraction, 0, 1), "part", f.Fraction, "0 to 1"},
			{inside(f.First, 0, maxBackends-1), "first", f.First, "0 to 499"},
			{inside(f.Factor, 0.01, 100), "times", f.Factor, "0.01 to 100"},
			{inside(f.Share, 0, 1), "share", f.Share, "0 to 1"},
			{f.Class == "" || d.classIndex(f.Class) >= 0, "class", f.Class, "the name of a class"},
			{f.Tenant == "" || d.tenantIndex(f.Tenant) >= 0, "tenant", f.Tenant, "the name of a tenant"},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// validateSize checks that the day can be simulated in reasonable time.
func (d *Day) validateSize() error {
	requests := d.RequestRate() * d.Length.Seconds() * d.maxBurst()
	if requests > maxRequests {
		return fmt.Errorf("rate: found %.0f requests a day, at most %d expected", requests, maxRequests)
	}
	calls := requests * d.callsPerRequest()
	if calls > maxCalls {
		return fmt.Errorf("calls: found %.0f calls a day, at most %d expected", calls, maxCalls)
	}
	return nil
}
