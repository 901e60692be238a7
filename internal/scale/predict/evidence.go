package predict

import (
	"cmp"
	"slices"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// File is a sweep's result with the name of its file.
type File struct {
	Name   string
	Result *result.Result
}

// Latency is the result of one case of a latency run: what the sidecars on the path add to a call.
// Times are in milliseconds.
type Latency struct {
	File                string
	Case                string
	RatePerSecond       float64
	Hops                int
	AddedP99            Spread
	DirectDifferenceP99 Spread  // of the same path against itself: the error of the method and the machine
	Noise               float64 // median over the rounds of a round's difference from itself
	CPUPerCallMicros    float64
	DirectP99           float64
	ThroughP99          float64 // 99th percentile through the sidecars
}

// Spread is the median and the range of the rounds' figures.
type Spread struct{ Median, Lowest, Highest float64 }

// Evidence is all that was measured, with the models fitted to it.
type Evidence struct {
	Files   []File // by name
	Latency []Latency

	models map[result.Source]*fit.Models
	pairs  []fit.Pair
}

// comparedSources returns the sources that predictions are made for: today's and distribution.
func comparedSources() []result.Source {
	return []result.Source{result.SourceConsul, result.SourceRelay}
}

// allSources returns the sources in the order in which tables list them.
func allSources() []result.Source {
	return []result.Source{result.SourceStatic, result.SourceConsul, result.SourceCatalog, result.SourceRelay}
}

// sourceName returns a source's name on the page.
func sourceName(source result.Source) string {
	if source == result.SourceRelay {
		return "distribution"
	}
	return "consul"
}

// NewEvidence fits models to the results. Hollow proxies are preferred: those of a source are
// fitted to real ones only where no hollow ones were measured.
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

// fitted returns the files that the models of a source are fitted to.
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

// predict returns a figure of a role over all its processes.
func (e *Evidence) predict(source result.Source, role fit.Role, figure fit.Metric, drivers fit.Drivers) amount {
	m := e.models[source].Model(role, figure)
	if m == nil {
		return amount{}
	}
	return known(m.Predict(drivers))
}

// predictProxy returns a figure of one proxy: its share of what all proxies cost, and what hollow
// proxies do not show. Where no real proxy was measured, the latter is processBytes for memory and
// 0 for other figures.
func (e *Evidence) predictProxy(
	source result.Source, figure fit.Metric, drivers fit.Drivers, processBytes float64,
) amount {
	drivers.Processes = 0
	a := e.predict(source, fit.Proxies, figure, drivers).dividedBy(max(drivers.Proxies, 1))
	hidden, isMeasured := e.hiddenCost(source, figure)
	if !isMeasured && figure == fit.RSS {
		hidden = processBytes
	}
	a.value += hidden
	return a
}

// hiddenCost returns how much more of a figure a real proxy uses than a hollow one under the same
// load, by the mean of the pairs measured of a source; 0 where no pair was measured.
func (e *Evidence) hiddenCost(source result.Source, figure fit.Metric) (cost float64, isMeasured bool) {
	m := e.models[source].Model(fit.Proxies, figure)
	if m == nil || !m.Hollow {
		return 0, m != nil
	}
	sum, n := 0.0, 0
	for _, p := range e.pairs {
		if p.Source == source && p.Role == fit.Proxies && p.Metric == figure {
			drivers := fit.DriversOf(p.Size, 0, 0)
			sum += (p.Real - m.Predict(drivers)) / drivers.Proxies
			n++
		}
	}
	return max(0, sum/float64(max(n, 1))), n > 0
}

// inForce returns the time in seconds until a change is in force: the median of the rounds' 99th
// percentiles over all points that are not held out. It was measured with source and proxies on one
// machine and at most one relay between.
func (e *Evidence) inForce(source result.Source) amount {
	var all []float64
	for _, f := range e.fitted(source) {
		for _, p := range f.Result.Points {
			if !p.HeldOut {
				all = append(all, inForceTimes(p.Rounds)...)
			}
		}
	}
	if len(all) == 0 {
		return amount{}
	}
	slices.Sort(all)
	return known(all[len(all)/2])
}

func inForceTimes(rounds []result.Round) []float64 {
	var times []float64
	for _, r := range rounds {
		if r.Propagation.Count > 0 {
			times = append(times, r.Propagation.P99)
		}
	}
	return times
}
