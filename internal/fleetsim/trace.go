package fleetsim

import "fernlanding/logic"

const (
	traceInterval  = 500_000 // microseconds between samples of the replicas
	maxTracedSheds = 200_000 // maximum number of shed requests recorded
)

// Trace records the states of the replicas and the shed requests of a day. Its size is bounded by
// the day's length and by maxTracedSheds.
type Trace struct {
	Samples      []Sample
	Sheds        []Shed
	DroppedSheds int // number of shed requests beyond maxTracedSheds
}

// Sample is the state of one replica at one time.
type Sample struct {
	At                 int64 // microseconds
	Tier               int
	Replica            int // index of the replica in its tier
	Stats              logic.Stats
	FreeFraction       float64 // free fraction of the tier's capacity
	OverloadedBackends int     // overloaded backends of the tier
	FreeCores          float64 // free cores of the tier
}

// Shed is a shed request with its cause.
type Shed struct {
	At              int64 // microseconds
	Tier            int
	Replica         int
	Class           int
	Tenant          int
	Cause           logic.ShedCause
	Limit           logic.LimitStats // limit of the rule that shed the request, if any; for a quota, its multiple
	MinFreeFraction float64          // lowest free fraction of capacity among all tiers
	IsExcess        bool             // whether the first tier shed the request while all tiers had free capacity
}

// traceReplicas records a sample of each replica that receives requests.
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
			FreeFraction: s.freeFractions[r.tier], OverloadedBackends: overloaded[r.tier], FreeCores: freeCores[r.tier],
		})
	}
}

// traceShed records a shed request.
func (s *simulation) traceShed(r *replica, q *request, cause logic.ShedCause, isExcess bool) {
	if len(s.trace.Sheds) >= maxTracedSheds {
		s.trace.DroppedSheds++
		return
	}
	entry := Shed{
		At: s.now, Tier: r.tier, Replica: r.index, Class: q.client.class, Tenant: q.client.tenant, Cause: cause,
		MinFreeFraction: s.minFree(), IsExcess: isExcess,
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
