package check

import (
	"maps"
	"net/http"
	"slices"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
)

// Loss is the measurements of a fault that affects a complete site or all links between the site
// and the other sites. The JSON keys are part of the stored format.
type Loss struct {
	Fault string `json:"fault"`
	Site  string `json:"site"`
	// ServedFirst is the share of the weighted requests in the first 10 s of the fault that were
	// served.
	ServedFirst float64 `json:"first_served"`
	// ServedAfter is the share of the weighted requests that were served in the 30 s after the end
	// of the fault, or until the end of the run.
	ServedAfter float64 `json:"back_served"`
	// RecoveryTime is the time in seconds from the beginning of the fault until 95% of the servable
	// requests were served; -1 means that this did not happen during the fault.
	RecoveryTime float64 `json:"within_s"`
	// RecoveryTimeAfter is the time in seconds from the end of the fault until 95% of the servable
	// requests were served; -1 means never.
	RecoveryTimeAfter float64 `json:"again_within_s"`
	// Overload is the request rate at the most loaded remaining site as a multiple of its capacity,
	// from 3 s after the beginning of the fault to its end.
	Overload float64 `json:"overload"`
	// RejectedShares is, by class, the share of the requests that were rejected, from 3 s after the
	// beginning of the fault to its end.
	RejectedShares map[string]float64 `json:"refused_part"`
	// CheapestShare is the share of the class with the least priority weight in all rejected
	// requests, in the same period as RejectedShares.
	CheapestShare float64 `json:"refused_cheap"`
	// CrossSiteShare is the share of the attempts that went to another site during the fault.
	CrossSiteShare float64 `json:"across_part"`
	// CrossSiteBefore is the share of the attempts that went to another site in the 5 s before the
	// fault.
	CrossSiteBefore float64 `json:"across_before"`
	// ServedRequests is the share of the requests that were served, from 3 s after the beginning of
	// the fault to its end.
	ServedRequests float64 `json:"served_requests"`
}

const (
	firstPeriod    = 10 * second // period of ServedFirst
	recoveryPeriod = 30 * second // period of ServedAfter
	settlePeriod   = 3 * second  // time after the beginning of a fault that is left out
	beforePeriod   = 5 * second  // period of CrossSiteBefore
	recoveryStep   = second / 2  // resolution of recovery times
	recoveryGoal   = 0.95        // served share of the servable requests that counts as recovery
	overloadStep   = 2 * second  // period over which request rates are averaged
)

// losses returns the measurements of all site losses that began.
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

// faultSpan returns the times at which a fault began and ended. from is -1 if the fault never
// began; to is the end of the history if the fault did not end.
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

// loss measures the site loss that the fault f caused between from and to.
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

// priorityWeights returns the priority weights by class and the first class with the least weight.
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

// totalCapacity returns the requests per second that all sites in capacity can serve together.
func totalCapacity(capacity map[string]float64) float64 {
	sum := 0.0
	// A fixed order of summation makes the rounding reproducible.
	for _, site := range slices.Sorted(maps.Keys(capacity)) {
		sum += capacity[site]
	}
	return sum
}

// rejectedShares returns, by class, the share of the requests in a period that were rejected, and
// the share of the cheapest class in all rejected requests.
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

// servedShare returns the share of the requests in a period that were served. Requests are weighted
// by class; if weights is nil, all requests have the same weight.
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

// recoveryTime returns the time in seconds from the beginning of a period to the beginning of the
// first second in which recoveryGoal of the servable requests were served, or -1 if there is no
// such second. Servable are all requests of the second, at most as many as the capacity allows.
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

// crossSiteShare returns the share of the requests from sidecars to backends in a period that went
// to another site.
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

// peakRate returns the highest rate, in requests per second over two seconds, at which requests
// arrived at a site's backends in a period.
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
