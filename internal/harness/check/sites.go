package check

import (
	"maps"
	"net/http"
	"slices"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
)

// Loss is what a run's fault of a whole site, or of all links across its border, came to.
type Loss struct {
	Fault   string             `json:"fault"`
	Site    string             `json:"site"`
	First   float64            `json:"first_served"`    // part of the worth asked in the first 10 s that was served
	Back    float64            `json:"back_served"`     // the same in the 30 s from its end, or to the run's end
	Within  float64            `json:"within_s"`        // until 95% was served of what is asked and can be served; -1: never while it lasted
	Again   float64            `json:"again_within_s"`  // the same from its end
	Over    float64            `json:"overload"`        // of a remaining site, worst after 3 s: calls that come over those it can serve
	Refused map[string]float64 `json:"refused_part"`    // of each class, from 3 s after the beginning to the end
	Cheap   float64            `json:"refused_cheap"`   // part of those refused that is of the class worth least
	Across  float64            `json:"across_part"`     // of all calls while it lasted, those that went to another site
	Before  float64            `json:"across_before"`   // the same in the 5 s before
	Served  float64            `json:"served_requests"` // part of the requests asked from 3 s on to the end that was served
}

const (
	lossFirst  = 10 * second
	lossBack   = 30 * second
	lossSettle = 3 * second
	lossBefore = 5 * second
	lossStep   = second / 2
	lossGoal   = 0.95
	overStep   = 2 * second
)

// losses takes the figures of all such faults.
func losses(sc *scenario.Scenario, r *record) (out []Loss) {
	for i, f := range sc.Schedule() {
		if f.Group != scenario.OnSites && !f.CrossSite {
			continue
		}
		if from, to := r.faultSpan(f.Name(i)); from >= 0 {
			out = append(out, loss(sc, r, f, f.Name(i), from, to))
		}
	}
	return out
}

// faultSpan is when a fault began and ended, if need be with the history; it begins at -1 where it never did.
func (r *record) faultSpan(name string) (from, to int64) {
	from, to = -1, r.end()
	for _, e := range r.all {
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

// loss takes the figures of one fault while it lasted and after it.
func loss(sc *scenario.Scenario, r *record, f scenario.Fault, name string, from, to int64) Loss {
	room := sc.Capacity()
	remaining := maps.Clone(room)
	if f.Group == scenario.OnSites {
		delete(remaining, f.Site)
	}
	worth, cheapest := worths()
	l := Loss{Fault: name, Site: f.Site}
	l.Within = r.reaches(from, to, total(remaining))
	l.Again = r.reaches(to, r.end(), total(room))
	l.First = r.part(from, min(to, from+lossFirst), worth)
	l.Back = r.part(to, to+lossBack, worth)
	l.Served = r.part(from+lossSettle, to, nil)
	l.Refused, l.Cheap = r.refused(from+lossSettle, to, cheapest)
	l.Across, l.Before = r.across(sc, from, to), r.across(sc, from-lossBefore, from)
	for site, n := range remaining {
		l.Over = max(l.Over, r.offered(sc, site, from+lossSettle, to)/n)
	}
	return l
}

// worths are what requests of each class are worth, and the first class that is worth least.
func worths() (worth map[string]float64, cheapest string) {
	worth = map[string]float64{}
	for _, c := range worker.Classes() {
		if worth[c.Name] = c.PriorityWeight; cheapest == "" || c.PriorityWeight < worth[cheapest] {
			cheapest = c.Name
		}
	}
	return worth, cheapest
}

// total is what all sites can serve a second.
func total(room map[string]float64) (sum float64) {
	for _, site := range slices.Sorted(maps.Keys(room)) { // in order, so that the sum is rounded alike each time
		sum += room[site]
	}
	return sum
}

// refused is the part of each class's requests in a time that was turned away, and the cheapest class's part of all those.
func (r *record) refused(from, to int64, cheapest string) (parts map[string]float64, cheap float64) {
	asked, turned, all := map[string]float64{}, map[string]float64{}, 0.0
	for _, e := range r.all {
		if e.Kind != history.Requested || e.At < from || e.At >= to {
			continue
		}
		if asked[e.Class]++; e.Status == http.StatusServiceUnavailable {
			turned[e.Class]++
			all++
		}
	}
	parts = map[string]float64{}
	for class, n := range asked {
		parts[class] = turned[class] / n
	}
	if all > 0 {
		cheap = turned[cheapest] / all
	}
	return parts, cheap
}

// part is the part of the worth that was asked in a time and served; worth nil: all requests are alike.
func (r *record) part(from, to int64, worth map[string]float64) float64 {
	asked, served := 0.0, 0.0
	for _, e := range r.all {
		if e.Kind != history.Requested || e.At < from || e.At >= to {
			continue
		}
		w := 1.0
		if worth != nil {
			w = worth[e.Class]
		}
		if asked += w; e.Status == http.StatusOK {
			served += w
		}
	}
	if asked == 0 {
		return 0
	}
	return served / asked
}

// reaches is after how many seconds for the first time a second's requests were served as far as they can be; -1: never.
func (r *record) reaches(from, to int64, room float64) float64 {
	n := int((to - from) / lossStep)
	if n < 2 {
		return -1
	}
	asked, served := make([]float64, n+1), make([]float64, n+1)
	for _, e := range r.all {
		if e.Kind != history.Requested || e.At < from || e.At >= to {
			continue
		}
		i := int((e.At - from) / lossStep)
		if asked[i]++; e.Status == http.StatusOK {
			served[i]++
		}
	}
	for i := 0; i+1 < n; i++ {
		if a := asked[i] + asked[i+1]; a > 0 && served[i]+served[i+1] >= lossGoal*min(a, room*2*lossStep/second) {
			return float64(int64(i)*lossStep) / second
		}
	}
	return -1
}

// across is the part of the calls to backends in a time that went to another site.
func (r *record) across(sc *scenario.Scenario, from, to int64) float64 {
	all, over := 0.0, 0.0
	for _, e := range r.all {
		if e.Kind == history.Sent && e.At >= from && e.At < to && isBackend(e.To) && isSidecar(e.Who) {
			if all++; sc.SiteOf(e.Who) != sc.SiteOf(e.To) {
				over++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return over / all
}

// offered is how many calls a second came to a site's backends in the worst two seconds of a time.
func (r *record) offered(sc *scenario.Scenario, site string, from, to int64) float64 {
	if to-from < overStep {
		return 0
	}
	n := make([]float64, (to-from)/overStep)
	for _, e := range r.all {
		if e.Kind == history.Sent && e.At >= from && isBackend(e.To) && sc.SiteOf(e.To) == site {
			if i := (e.At - from) / overStep; i < int64(len(n)) {
				n[i]++
			}
		}
	}
	return slices.Max(n) / (float64(overStep) / second)
}
