package fleetsim

import "fernlanding/logic"

const (
	traceInterval  = 500_000 // microseconds between samples of the replicas
	maxTracedSheds = 200_000
)

// Trace is what a day shows of its replicas. It is bounded by the day's length and by
// maxTracedSheds.
type Trace struct {
	Samples []Sample
	Sheds   []Shed
	Dropped int // shed requests that were too many to keep
}

// Sample is one replica at one time.
type Sample struct {
	At         int64 // microseconds
	Tier       int
	Replica    int // its index in the tier
	Stats      logic.Stats
	Free       float64 // fraction of its tier's capacity that is free
	Overloaded int     // backends of its tier that are slowed by overload
	FreeCores  float64 // cores of its tier that are free
}

// Shed is one shed request with its cause.
type Shed struct {
	At       int64 // microseconds
	Tier     int
	Replica  int
	Class    int
	Tenant   int
	Cause    logic.ShedCause
	Limit    logic.LimitStats // of the rule that shed it, if it has a limit; of a quota the multiple
	Free     float64          // fraction of every tier's capacity that was free
	IsExcess bool             // by the first tier, while capacity was free in all tiers
}

// traceReplicas samples the replicas that serve.
func (s *simulation) traceReplicas() {
	overloaded := make([]int, len(s.backends))
	freeCores := make([]float64, len(s.backends))
	for tier, backends := range s.backends {
		for _, b := range backends {
			if b.overloaded {
				overloaded[tier]++
			}
			if !b.dead && !b.hung && b.state == logic.Ready {
				freeCores[tier] += b.freeFraction * float64(b.group.Cores)
			}
		}
	}
	for _, r := range s.replicas {
		if r.dead || r.tier == 0 && s.front[r.index] != r {
			continue
		}
		s.trace.Samples = append(s.trace.Samples, Sample{
			At: s.now, Tier: r.tier, Replica: r.index, Stats: r.balancer.Stats(),
			Free: s.free[r.tier], Overloaded: overloaded[r.tier], FreeCores: freeCores[r.tier],
		})
	}
}

// traceShed keeps a shed request.
func (s *simulation) traceShed(r *replica, q *request, cause logic.ShedCause, isExcess bool) {
	if len(s.trace.Sheds) >= maxTracedSheds {
		s.trace.Dropped++
		return
	}
	entry := Shed{
		At: s.now, Tier: r.tier, Replica: r.index, Class: q.client.class, Tenant: q.client.tenant, Cause: cause,
		Free: s.minFree(), IsExcess: isExcess,
	}
	stats := r.balancer.Stats()
	switch cause {
	case logic.ByTierLimit:
		entry.Limit = stats.Tier
	case logic.ByClassLimit:
		entry.Limit = stats.Classes[q.client.class]
	case logic.ByTenantQuota:
		entry.Limit.Limit = stats.QuotaMultiple
	default:
	}
	s.trace.Sheds = append(s.trace.Sheds, entry)
}
