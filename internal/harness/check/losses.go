package check

import (
	"maps"
	"net/http"
	"slices"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
)

// Loss is the measurements of a fault of a complete site, or of all links between it and the
// others. Its JSON keys are stored.
type Loss struct {
	Fault string `json:"fault"`
	Site  string `json:"site"`
	// ServedFirst: share of the weighted requests of the first 10 s that was served.
	ServedFirst float64 `json:"first_served"`
	// ServedAfter: the same of the 30 s after its end, or to the end of the run.
	ServedAfter float64 `json:"back_served"`
	// RecoveryTime: seconds until 95% of what can be served was; -1: never while it lasted.
	RecoveryTime float64 `json:"within_s"`
	// RecoveryTimeAfter: the same from its end.
	RecoveryTimeAfter float64 `json:"again_within_s"`
	// Overload: requests that come to the worst remaining site from 3 s on, as a multiple of what it can serve.
	Overload float64 `json:"overload"`
	// RejectedShares: by class, from 3 s after the beginning to the end.
	RejectedShares map[string]float64 `json:"refused_part"`
	// CheapestShare: share of the rejected requests that is of the class with the least weight.
	CheapestShare float64 `json:"refused_cheap"`
	// CrossSiteShare: share of the attempts that went to another site while it lasted.
	CrossSiteShare float64 `json:"across_part"`
	// CrossSiteBefore: the same of the 5 s before.
	CrossSiteBefore float64 `json:"across_before"`
	// ServedRequests: share of the requests from 3 s on to its end that was served.
	ServedRequests float64 `json:"served_requests"`
}

const (
	firstPeriod    = 10 * second
	recoveryPeriod = 30 * second
	settlePeriod   = 3 * second
	beforePeriod   = 5 * second
	recoveryStep   = second / 2
	recoveryGoal   = 0.95
	overloadStep   = 2 * second
)

// losses returns the measurements of all such faults that began.
func losses(spec *scenario.Scenario, h *indexedHistory) []Loss {
	var all []Loss
	for i, f := range spec.Schedule() {
		if f.Group != scenario.OnSites && !f.CrossSite {
			continue
		}
		if from, to := h.faultSpan(f.Name(i)); from >= 0 {
			all = append(all, loss(spec, h, f, f.Name(i), from, to))
		}
	}
	return all
}

// faultSpan returns when a fault began and ended, at the latest with the history. from is -1 if it
// never began.
func (h *indexedHistory) faultSpan(name string) (from, to int64) {
	from = -1
	to = h.end()
	for _, e := range h.events {
		switch {
		case e.Kind != history.Fault || e.ID != name:
		case e.N == 1:
			from = e.At
		default:
			to = e.At
		}
	}
	return from, to
}

// loss measures one fault, from its beginning to the end of the history.
func loss(spec *scenario.Scenario, h *indexedHistory, f scenario.Fault, name string, from, to int64) Loss {
	capacity := spec.Capacity()
	remaining := maps.Clone(capacity)
	if f.Group == scenario.OnSites {
		delete(remaining, f.Site)
	}
	weights, cheapest := priorityWeights()
	l := Loss{Fault: name, Site: f.Site}
	l.RecoveryTime = h.recoveryTime(from, to, totalCapacity(remaining))
	l.RecoveryTimeAfter = h.recoveryTime(to, h.end(), totalCapacity(capacity))
	l.ServedFirst = h.servedShare(from, min(to, from+firstPeriod), weights)
	l.ServedAfter = h.servedShare(to, to+recoveryPeriod, weights)
	l.ServedRequests = h.servedShare(from+settlePeriod, to, nil)
	l.RejectedShares, l.CheapestShare = h.rejectedShares(from+settlePeriod, to, cheapest)
	l.CrossSiteShare = h.crossSiteShare(spec, from, to)
	l.CrossSiteBefore = h.crossSiteShare(spec, from-beforePeriod, from)
	for site, siteCapacity := range remaining {
		l.Overload = max(l.Overload, h.peakRate(spec, site, from+settlePeriod, to)/siteCapacity)
	}
	return l
}

// priorityWeights returns the priority weight of each class, and the first class that has the
// least.
func priorityWeights() (weights map[string]float64, cheapest string) {
	weights = map[string]float64{}
	for _, class := range worker.Classes() {
		weights[class.Name] = class.PriorityWeight
		if cheapest == "" || class.PriorityWeight < weights[cheapest] {
			cheapest = class.Name
		}
	}
	return weights, cheapest
}

// totalCapacity returns how many requests a second all sites can serve.
func totalCapacity(capacity map[string]float64) float64 {
	sum := 0.0
	// In a fixed order, so that the sum is rounded alike each time.
	for _, site := range slices.Sorted(maps.Keys(capacity)) {
		sum += capacity[site]
	}
	return sum
}

// rejectedShares returns the share of each class's requests in a period that was rejected, and the
// cheapest class's share of all that were.
func (h *indexedHistory) rejectedShares(
	from, to int64, cheapest string,
) (shares map[string]float64, cheapestShare float64) {
	requests := map[string]float64{}
	rejected := map[string]float64{}
	all := 0.0
	for _, e := range h.events {
		if e.Kind != history.Requested || e.At < from || e.At >= to {
			continue
		}
		requests[e.Class]++
		if e.Status == http.StatusServiceUnavailable {
			rejected[e.Class]++
			all++
		}
	}
	shares = map[string]float64{}
	for class, count := range requests {
		shares[class] = rejected[class] / count
	}
	if all > 0 {
		cheapestShare = rejected[cheapest] / all
	}
	return shares, cheapestShare
}

// servedShare returns the share of the requests in a period that was served, by weights; without
// weights all requests count alike.
func (h *indexedHistory) servedShare(from, to int64, weights map[string]float64) float64 {
	requests, served := 0.0, 0.0
	for _, e := range h.events {
		if e.Kind != history.Requested || e.At < from || e.At >= to {
			continue
		}
		weight := 1.0
		if weights != nil {
			weight = weights[e.Class]
		}
		requests += weight
		if e.Status == http.StatusOK {
			served += weight
		}
	}
	if requests == 0 {
		return 0
	}
	return served / requests
}

// recoveryTime returns after how many seconds, for the first time, a second's requests were served
// as far as the capacity allows; -1 if never.
func (h *indexedHistory) recoveryTime(from, to int64, capacity float64) float64 {
	steps := int((to - from) / recoveryStep)
	if steps < 2 {
		return -1
	}
	requests := make([]float64, steps+1)
	served := make([]float64, steps+1)
	for _, e := range h.events {
		if e.Kind != history.Requested || e.At < from || e.At >= to {
			continue
		}
		i := int((e.At - from) / recoveryStep)
		requests[i]++
		if e.Status == http.StatusOK {
			served[i]++
		}
	}
	for i := 0; i+1 < steps; i++ {
		sent := requests[i] + requests[i+1]
		if sent > 0 && served[i]+served[i+1] >= recoveryGoal*min(sent, capacity*2*recoveryStep/second) {
			return float64(int64(i)*recoveryStep) / second
		}
	}
	return -1
}

// crossSiteShare returns the share of the requests to backends in a period that went to another
// site.
func (h *indexedHistory) crossSiteShare(spec *scenario.Scenario, from, to int64) float64 {
	all, crossSite := 0.0, 0.0
	for _, e := range h.events {
		if e.Kind == history.Sent && e.At >= from && e.At < to && isBackend(e.To) && isSidecar(e.Who) {
			all++
			if spec.SiteOf(e.Who) != spec.SiteOf(e.To) {
				crossSite++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return crossSite / all
}

// peakRate returns how many requests a second came to a site's backends in the worst two seconds of
// a period.
func (h *indexedHistory) peakRate(spec *scenario.Scenario, site string, from, to int64) float64 {
	if to-from < overloadStep {
		return 0
	}
	counts := make([]float64, (to-from)/overloadStep)
	for _, e := range h.events {
		if e.Kind == history.Sent && e.At >= from && isBackend(e.To) && spec.SiteOf(e.To) == site {
			if i := (e.At - from) / overloadStep; i < int64(len(counts)) {
				counts[i]++
			}
		}
	}
	return slices.Max(counts) / (float64(overloadStep) / second)
}
