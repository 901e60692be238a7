package predict

import (
	"cmp"
	"slices"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// File is the result of a sweep with its file name.
type File struct {
	Name   string
	Result *result.Result
}

// Latency is the result of one case of a latency run: the latency that the sidecars on the path add
// to a call. Times are in milliseconds.
type Latency struct {
	File                string
	Case                string
	RatePerSecond       float64
	Hops                int
	AddedP99            Spread
	DirectDifferenceP99 Spread  // direct path compared with itself: error of the method and the machine
	Noise               float64 // median over the rounds of the absolute direct difference
	CPUPerCallMicros    float64
	DirectP99           float64
	ThroughP99          float64 // through the sidecars
}

// Spread is the median and the range of a value over the rounds.
type Spread struct{ Median, Lowest, Highest float64 }

// Evidence holds all measurements and the models fitted to them.
type Evidence struct {
	Files   []File // sorted by name
	Latency []Latency

	models map[result.Source]*fit.Models
	pairs  []fit.Pair
}

// comparedSources returns the sources for which costs are predicted: the present source (consul) and
// distribution.
func comparedSources() []result.Source {
	return []result.Source{result.SourceConsul, result.SourceRelay}
}

// allSources returns the sources in the order in which tables list them.
func allSources() []result.Source {
	return []result.Source{result.SourceStatic, result.SourceConsul, result.SourceCatalog, result.SourceRelay}
}

// sourceName returns the name of a source on the page.
func sourceName(source result.Source) string {
	if source == result.SourceRelay {
		return "distribution"
	}
	return "consul"
}

// NewEvidence fits models to the results. The models of a source are fitted to results with hollow
// proxies, or to results with real proxies if there are none with hollow proxies.
func NewEvidence(files []File, latencies []Latency) *Evidence {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	e := &Evidence{Files: files, Latency: latencies, models: map[result.Source]*fit.Models{}}
	results := e.results()
	e.pairs = fit.Pairs(results)
	for _, source := range allSources() {
		isHollow := func(r *result.Result) bool { return r.Source == source && r.Hollow }
		models := fit.NewModels(results, source, slices.ContainsFunc(results, isHollow))
		if len(models.All) > 0 {
			e.models[source] = models
		}
	}
	return e
}

func (e *Evidence) results() []*result.Result {
	out := make([]*result.Result, len(e.Files))
	for i, f := range e.Files {
		out[i] = f.Result
	}
	return out
}

// fitted returns the files to which the models of a source are fitted.
func (e *Evidence) fitted(source result.Source) []File {
	models := e.models[source]
	if models == nil {
		return nil
	}
	var files []File
	for _, f := range e.Files {
		if f.Result.Source == source && f.Result.Hollow == models.Hollow {
			files = append(files, f)
		}
	}
	return files
}

// predict returns a metric of a role over all its processes.
func (e *Evidence) predict(source result.Source, role fit.Role, metric fit.Metric, drivers fit.Drivers) amount {
	m := e.models[source].Model(role, metric)
	if m == nil {
		return amount{}
	}
	return known(m.Predict(drivers))
}

// predictProxy returns a metric of one proxy: the cost of all proxies divided by their number, plus
// the hidden cost that hollow proxies do not have. If no real proxy was measured, the hidden cost is
// processBytes for memory and 0 for other metrics.
func (e *Evidence) predictProxy(
	source result.Source, metric fit.Metric, drivers fit.Drivers, processBytes float64,
) amount {
	drivers.Processes = 0
	a := e.predict(source, fit.Proxies, metric, drivers).dividedBy(max(drivers.Proxies, 1))
	hidden, isMeasured := e.hiddenCost(source, metric)
	if !isMeasured && metric == fit.RSS {
		hidden = processBytes
	}
	a.value += hidden
	return a
}

// hiddenCost returns by how much a metric of a real proxy exceeds the metric of a hollow proxy under
// the same load, as the mean over the measured pairs of a source. It is 0 if no pair was measured.
func (e *Evidence) hiddenCost(source result.Source, metric fit.Metric) (cost float64, isMeasured bool) {
	m := e.models[source].Model(fit.Proxies, metric)
	if m == nil || !m.Hollow {
		return 0, m != nil
	}
	sum, n := 0.0, 0
	for _, p := range e.pairs {
		if p.Source == source && p.Role == fit.Proxies && p.Metric == metric {
			drivers := fit.DriversOf(p.Size, 0, 0)
			sum += (p.Real - m.Predict(drivers)) / drivers.Proxies
			n++
		}
	}
	return max(0, sum/float64(max(n, 1))), n > 0
}

// medianPropagation returns the propagation time of a change in seconds: the median, over the rounds
// of all points that are not held out, of the 99th percentile. The measurements have source and
// proxies on one machine and at most one relay between them.
func (e *Evidence) medianPropagation(source result.Source) amount {
	var all []float64
	for _, f := range e.fitted(source) {
		for _, p := range f.Result.Points {
			if !p.HeldOut {
				all = append(all, propagationP99s(p.Rounds)...)
			}
		}
	}
	if len(all) == 0 {
		return amount{}
	}
	slices.Sort(all)
	return known(all[len(all)/2])
}

func propagationP99s(rounds []result.Round) []float64 {
	var times []float64
	for _, r := range rounds {
		if r.Propagation.Count > 0 {
			times = append(times, r.Propagation.P99)
		}
	}
	return times
}
