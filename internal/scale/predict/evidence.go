package predict

import (
	"slices"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// File is a result with the name of its file.
type File struct {
	Name   string
	Result *result.Result
}

// Latency is what one case of a latency run gave: what the sidecars on the way add to a call. Times are in milliseconds.
type Latency struct {
	File               string
	Case               string
	RatePerSecond      float64
	Hops               int
	AddedP99           Spread
	SameP99            Spread  // the same way against itself: what the method and the machine differ by
	Noise              float64 // half of the rounds differ from themselves by no more
	CPUPerCallMicros   float64
	DirectP99, Through float64
}

// Spread is the median of the rounds' figures, and how far they lie apart.
type Spread struct{ Median, Lowest, Highest float64 }

// Evidence is all that was measured, with the fits through it.
type Evidence struct {
	Files   []File
	Latency []Latency

	models map[way]*fit.Models
	pairs  []fit.Pair
}

// way is how lists come to proxies.
type way = result.Source

// ways are those that are worked out: today's and that by distribution.
func ways() []way { return []way{result.SourceConsul, result.SourceRelay} }

// NewEvidence fits models through files. They are taken in the order of their names.
func NewEvidence(files []File, latencies []Latency) *Evidence {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	e := &Evidence{Files: files, Latency: latencies, models: map[way]*fit.Models{}}
	results := e.results()
	e.pairs = fit.Pairs(results)
	for _, w := range []way{result.SourceStatic, result.SourceConsul, result.SourceCatalog, result.SourceRelay} {
		hollow := slices.ContainsFunc(results, func(r *result.Result) bool { return r.Source == w && r.Hollow })
		if m := fit.NewModels(results, w, hollow); len(m.All) > 0 {
			e.models[w] = m
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

// runs are the names of the files that a model of a way is fitted through.
func (e *Evidence) runs(w way) (names []string) {
	m := e.models[w]
	for _, f := range e.Files {
		if m != nil && f.Result.Source == w && f.Result.Hollow == m.Hollow {
			names = append(names, "`"+f.Name+"`")
		}
	}
	return names
}

// amount is a figure that may not be known.
type amount struct {
	value float64
	known bool
}

func known(v float64) amount { return amount{v, true} }

// over divides an amount.
func (a amount) over(divisor float64) amount { return amount{a.value / divisor, a.known} }

// times multiplies an amount.
func (a amount) times(factor float64) amount { return amount{a.value * factor, a.known} }

// plus adds two amounts; it is unknown where one is.
func (a amount) plus(b amount) amount { return amount{a.value + b.value, a.known && b.known} }

// predict is a figure of a role over all its processes, without what a process costs that has nothing to do.
func (e *Evidence) predict(w way, role fit.Role, f fit.Figure, d fit.Drivers) amount {
	m := e.models[w].Model(role, f)
	if m == nil {
		return amount{}
	}
	return known(m.Predict(d))
}

// proxy is a figure of one proxy: a share of what all cost, and what hollow proxies do not show of it; of memory that is
// the bytes of a process, where no real one was measured.
func (e *Evidence) proxy(w way, f fit.Figure, d fit.Drivers, process float64) amount {
	d.Processes = 0
	a := e.predict(w, fit.Proxies, f, d).over(max(d.Proxies, 1))
	more, measured := e.hidden(w, f)
	if !measured && f == fit.RSS {
		more = process
	}
	a.value += more
	return a
}

// hidden is how much more a real proxy used than a hollow one on the same work, by the mean of what was played of both;
// 0 where no such pair was measured. Pairs of a way are those of its own runs.
func (e *Evidence) hidden(w way, f fit.Figure) (more float64, measured bool) {
	m := e.models[w].Model(fit.Proxies, f)
	if m == nil || !m.Hollow {
		return 0, m != nil
	}
	sum, n := 0.0, 0
	for _, p := range e.pairs {
		if p.Source == w && p.Role == fit.Proxies && p.Figure == f {
			d := fit.DriversOf(p.Size, 0, 0)
			sum += (p.Real - m.Predict(d)) / d.Proxies
			n++
		}
	}
	return max(0, sum/float64(max(n, 1))), n > 0
}

// inForce is the median over all points that are not held out of the time until a change is in force, by its 99th percentile: source and
// proxies on one machine, one relay between them at most.
func (e *Evidence) inForce(w way) amount {
	var all []float64
	for _, f := range e.Files {
		m := e.models[w]
		if m == nil || f.Result.Source != w || f.Result.Hollow != m.Hollow {
			continue
		}
		for _, p := range f.Result.Points {
			if p.HeldOut {
				continue
			}
			for _, r := range p.Rounds {
				if r.InForce.Count > 0 {
					all = append(all, r.InForce.P99)
				}
			}
		}
	}
	if len(all) == 0 {
		return amount{}
	}
	slices.Sort(all)
	return known(all[len(all)/2])
}

// wholeReading is what a reading of a whole list costs its service, by what the blocking reads at rest cost.
type wholeReading struct {
	bytesARead, bytesAnEndpoint float64
	coresARead, coresAnEndpoint float64 // CPU seconds of the list service
	measured                    bool
}

// wholeReading takes the costs of a read list from what was measured with consul.
func (e *Evidence) wholeReading(t *Target) wholeReading {
	m := e.models[result.SourceConsul]
	received, cores := m.Model(fit.Proxies, fit.BytesIn), m.Model(fit.Lists, fit.CPU)
	if received == nil || cores == nil {
		return wholeReading{bytesAnEndpoint: t.Get(EndpointBytes)}
	}
	return wholeReading{
		bytesARead: received.Term(fit.TermListRead).Value, bytesAnEndpoint: received.Term(fit.TermEndpointRead).Value,
		coresARead: cores.Term(fit.TermListRead).Value, coresAnEndpoint: cores.Term(fit.TermEndpointRead).Value, measured: true,
	}
}

func (r wholeReading) bytes(reads, endpoints float64) float64 {
	return r.bytesARead*reads + r.bytesAnEndpoint*endpoints
}

func (r wholeReading) cpuSeconds(reads, endpoints float64) float64 {
	return r.coresARead*reads + r.coresAnEndpoint*endpoints
}
