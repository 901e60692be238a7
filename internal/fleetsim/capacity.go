package fleetsim

import "slices"

// classIndex returns the index of the class with the name, or -1.
func (d *Day) classIndex(name string) int {
	return slices.IndexFunc(d.Classes, func(c Class) bool { return c.Name == name })
}

// tenantIndex returns the index of the tenant with the name, or -1.
func (d *Day) tenantIndex(name string) int {
	return slices.IndexFunc(d.Tenants, func(t Tenant) bool { return t.Name == name })
}

// backendCount returns the number of a tier's backends.
func (d *Day) backendCount(tier int) int {
	n := 0
	for _, g := range d.Tiers[tier].Groups {
		n += g.Count
	}
	return n
}

// meanWork returns the mean work of a request over its classes, in seconds of a core of speed 1.
func (d *Day) meanWork() float64 {
	sum, share := 0.0, 0.0
	for _, c := range d.Classes {
		sum += c.Share * c.Work.Seconds()
		share += c.Share
	}
	return sum / share
}

// Capacity returns how many requests per second the narrowest tier can serve, all backends warm and
// healthy.
func (d *Day) Capacity() float64 {
	least, calls := 0.0, 1.0
	for i, t := range d.Tiers {
		if i > 0 {
			calls *= t.Calls
		}
		if calls == 0 {
			break
		}
		cores := 0.0 // of speed 1
		for _, g := range t.Groups {
			cores += float64(g.Count*g.Cores) * g.Speed
		}
		capacity := cores / (d.meanWork() * t.Work * calls)
		if least == 0 || capacity < least {
			least = capacity
		}
	}
	return least
}

// RequestRate returns the mean rate of client requests per second, before any fault.
func (d *Day) RequestRate() float64 {
	if d.Rate > 0 {
		return d.Rate
	}
	return d.Load * d.Capacity()
}

// callsPerRequest returns how many calls a request makes to all tiers, itself included.
func (d *Day) callsPerRequest() float64 {
	sum, calls := 1.0, 1.0
	for _, t := range d.Tiers[1:] {
		calls *= t.Calls
		sum += calls
	}
	return sum
}

// maxBurst returns how many times the usual rate the faults may bring.
func (d *Day) maxBurst() float64 {
	most := 1.0
	for _, f := range d.Faults {
		if f.Kind == FaultBurst {
			most += max(0, f.Factor-1)
		}
	}
	return most
}

// tenantFraction returns the fraction of all requests that is a tenant's.
func (d *Day) tenantFraction(tenant int) float64 {
	sum := 0.0
	for _, t := range d.Tenants {
		sum += t.Share * t.Usage
	}
	return d.Tenants[tenant].Share * d.Tenants[tenant].Usage / sum
}

// tenantShares returns the sum of all tenants' shares.
func (d *Day) tenantShares() float64 {
	total := 0.0
	for _, t := range d.Tenants {
		total += t.Share
	}
	return total
}
