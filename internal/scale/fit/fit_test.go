package fit

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"fernlanding/internal/scale/result"
)

// slopes holds the true costs of synthetic measurements, in bytes per second over all proxies.
type slopes struct{ proxy, followed, endpoint, delivered, changed float64 }

func (s slopes) at(d Drivers) float64 {
	return s.proxy*d.Proxies + s.followed*d.Followed + s.endpoint*d.EndpointsHeld +
		s.delivered*d.Delivered + s.changed*d.EndpointsChanged
}

// sweepOfTruth returns a synthetic sweep of six sizes and three rounds that measures truth with
// relative noise.
func sweepOfTruth(
	d result.Dimension, changes float64, truth func(Drivers) float64, noise float64, rng *rand.Rand,
) *result.Result {
	r := &result.Result{
		Format:    result.Format,
		Scenario:  string(d),
		Source:    result.SourceRelay,
		Dimension: d,
		Hollow:    true,
	}
	for k := range 6 {
		size := result.Size{Proxies: 200, Services: 10, TotalServices: 100, Backends: 23, ChangesPerSecond: changes}
		factor := 1 << k
		switch d {
		case result.Proxies:
			size.Proxies = 100 * factor
		case result.Services:
			size.Services = 2 * factor
		case result.Backends:
			size.Backends = 6 * factor
		case result.Changes:
			size.ChangesPerSecond = float64(factor)
		case result.Calls:
			panic("no sweep of calls is synthesized")
		}
		p := result.Point{Size: size}
		for range 3 {
			value := truth(DriversOf(size, 1, 0)) * (1 + noise*rng.NormFloat64())
			cost := result.Cost{Processes: 1, BytesIn: int64(10 * value)}
			p.Rounds = append(p.Rounds, result.Round{Seconds: 10, Proxies: cost})
		}
		r.Points = append(r.Points, p)
	}
	return r
}

// allSweepsOfTruth returns synthetic sweeps of four dimensions. The dimension of backends has two
// sweeps, with and without changes.
func allSweepsOfTruth(truth func(Drivers) float64, noise float64, rng *rand.Rand) []*result.Result {
	var all []*result.Result
	for _, d := range []result.Dimension{result.Proxies, result.Services, result.Backends, result.Changes} {
		all = append(all, sweepOfTruth(d, 0, truth, noise, rng))
	}
	return append(all, sweepOfTruth(result.Backends, 5, truth, noise, rng))
}

func TestModelRecoversKnownTerms(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for trial := range 40 {
		truth := slopes{
			proxy:     100 + 1000*rng.Float64(),
			endpoint:  50 + 50*rng.Float64(),
			delivered: 2000 * rng.Float64(),
			changed:   100 + 100*rng.Float64(),
		}
		m := NewModels(allSweepsOfTruth(truth.at, 0.01, rng), result.SourceRelay, true).Model(Proxies, BytesIn)
		target := Drivers{
			Processes:        28_000,
			Proxies:          28_000,
			Followed:         280_000,
			EndpointsHeld:    2e7,
			Delivered:        5000,
			EndpointsChanged: 1e6,
		}
		if got, want := m.Predict(target), truth.at(target); math.Abs(got/want-1) > 0.05 {
			t.Errorf("trial %d: prediction at the target %.4g, want %.4g; terms %+v", trial, got, want, m.Terms)
		}
		term := m.Term("endpoint followed")
		if math.Abs(term.Value-truth.endpoint) > 5*term.StandardError || term.StandardError > 0.05*truth.endpoint {
			t.Errorf("trial %d: cost of an endpoint %.4g +- %.2g, want %.4g",
				trial, term.Value, term.StandardError, truth.endpoint)
		}
	}
}

func TestModelWithoutNoiseIsExact(t *testing.T) {
	truth := slopes{proxy: 300, followed: 40, endpoint: 7, delivered: 500}
	results := allSweepsOfTruth(truth.at, 0, rand.New(rand.NewPCG(1, 2)))
	m := NewModels(results, result.SourceRelay, true).Model(Proxies, BytesIn)
	for name, want := range map[string]float64{
		"proxy":                     300,
		"service followed":          40,
		"endpoint followed":         7,
		"change delivered a second": 500,
	} {
		if got := m.Term(name).Value; math.Abs(got/want-1) > 0.01 {
			t.Errorf("%s: got %.4g, want %.4g", name, got, want)
		}
	}
	if len(m.Terms) != 4 || m.R2 < 0.9999 {
		t.Errorf("R2 %.5f, terms %+v; want 4 terms and R2 of 0.9999 or more", m.R2, m.Terms)
	}
}

// Over consul a change ends a long poll early. The cost is proportional to the lists read, which are
// not linear in the changes.
func TestConsulModelFitsListsRead(t *testing.T) {
	truth := func(d Drivers) float64 { return 300*d.ListsRead + 110*d.EndpointsRead }
	results := allSweepsOfTruth(truth, 0.01, rand.New(rand.NewPCG(1, 2)))
	for _, r := range results {
		r.Source = result.SourceConsul
	}
	m := NewModels(results, result.SourceConsul, true).Model(Proxies, BytesIn)
	for name, want := range map[string]float64{TermListRead: 300, TermEndpointRead: 110} {
		if got := m.Term(name); math.Abs(got.Value-want) > 5*got.StandardError || got.StandardError > 0.1*want {
			t.Errorf("%s: got %.4g +- %.2g, want %.4g", name, got.Value, got.StandardError, want)
		}
	}
	if at := LongPollRate(0); at != 0.5 {
		t.Errorf("LongPollRate(0) = %g, want 0.5", at)
	}
	if busy := LongPollRate(100); math.Abs(busy-100) > 1e-6 {
		t.Errorf("LongPollRate(100) = %g, want 100", busy)
	}
}

func TestModelReportsAliasedTerms(t *testing.T) {
	truth := slopes{proxy: 300, delivered: 500}
	r := sweepOfTruth(result.Changes, 0, truth.at, 0, rand.New(rand.NewPCG(1, 2)))
	m := NewModels([]*result.Result{r}, result.SourceRelay, true).Model(Proxies, BytesIn)
	if !slices.Contains(m.Aliased, "endpoint of a changed list a second") &&
		!slices.Contains(m.Aliased, "change delivered a second") {
		t.Errorf("aliased %q, want one of the two terms of changes, since every list has 23 endpoints", m.Aliased)
	}
}

func TestSweepSlopesAndShapes(t *testing.T) {
	for _, test := range []struct {
		name  string
		truth func(Drivers) float64
		kind  ShapeKind
		from  float64
		slope float64 // NaN: not checked
	}{
		{"flat", func(Drivers) float64 { return 300 }, Flat, 0, 0},
		{"linear", func(d Drivers) float64 { return 300 + 0.5*d.Proxies }, Linear, 0, 0.5},
		{"square", func(d Drivers) float64 { return 300 + 0.001*d.Proxies*d.Proxies }, Superlinear, 400, math.NaN()},
		{"saturates", func(d Drivers) float64 { return 300 + min(d.Proxies, 800) }, Sublinear, 1600, math.NaN()},
		{
			"knee", func(d Drivers) float64 { return 300 + 0.1*d.Proxies + 3*max(0, d.Proxies-1600) },
			Superlinear, 3200, math.NaN(),
		},
	} {
		r := sweepOfTruth(result.Proxies, 0, test.truth, 0.005, rand.New(rand.NewPCG(3, 4)))
		var line *Line
		for _, s := range Sweeps(r) {
			if s.Metric == BytesIn {
				line = &s.Line
			}
		}
		if line == nil || line.Shape != (Shape{Kind: test.kind, DepartureSize: test.from}) {
			t.Errorf("%s: got %+v, want %s from %g", test.name, line, test.kind, test.from)
			continue
		}
		if math.Abs(line.Slope-test.slope) > 5*line.SlopeError {
			t.Errorf("%s: slope %.4g +- %.2g, want %.4g", test.name, line.Slope, line.SlopeError, test.slope)
		}
	}
}

func TestSlopeIsPerProxyInOtherDimensions(t *testing.T) {
	truth := slopes{proxy: 300, endpoint: 7}
	for dimension, want := range map[result.Dimension]float64{
		result.Proxies:  300 + 7*230,
		result.Backends: 7 * 10,
	} {
		for _, s := range Sweeps(sweepOfTruth(dimension, 0, truth.at, 0, rand.New(rand.NewPCG(1, 2)))) {
			if s.Metric == BytesIn && math.Abs(s.Line.Slope/want-1) > 0.01 {
				t.Errorf("along %s: slope %.4g, want %.4g", dimension, s.Line.Slope, want)
			}
		}
	}
}

func TestNoisyStraightLinesAreRarelyBent(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	bent := 0
	for range 200 {
		r := sweepOfTruth(result.Proxies, 0, func(d Drivers) float64 { return 100 + 0.3*d.Proxies }, 0.03, rng)
		for _, s := range Sweeps(r) {
			if s.Metric == BytesIn && s.Line.Shape.Kind != Linear {
				bent++
			}
		}
	}
	if bent > 6 {
		t.Errorf("%d of 200 straight lines with 3%% noise are not Linear, want at most 6", bent)
	}
}

func TestZeroMetricHasNoTermsAndIsFlat(t *testing.T) {
	r := sweepOfTruth(result.Proxies, 0, slopes{proxy: 100}.at, 0, rand.New(rand.NewPCG(1, 2)))
	m := NewModels([]*result.Result{r}, result.SourceRelay, true).Model(Proxies, BytesOut)
	if m == nil || len(m.Terms) > 0 || m.Predict(Drivers{Proxies: 1}) != 0 || m.R2 != 1 {
		t.Errorf("got %+v, want a model without terms", m)
	}
	for _, s := range Sweeps(r) {
		if s.Metric == BytesOut && s.Line != (Line{R2: 1, Shape: Shape{Kind: Flat}}) {
			t.Errorf("got %+v, want a flat line at 0", s.Line)
		}
	}
}

func TestHeldOutPointsAreComparedButNotFitted(t *testing.T) {
	truth := slopes{proxy: 300, endpoint: 7}
	rng := rand.New(rand.NewPCG(1, 2))
	results := allSweepsOfTruth(truth.at, 0, rng)
	without := NewModels(results, result.SourceRelay, true).Model(Proxies, BytesIn).Terms
	alone := *results[0] // the held-out point in a separate file
	alone.Points = results[0].Points[5:]
	results[0].Points = results[0].Points[:5]
	results = append(results, &alone)
	last := &alone.Points[0]
	last.HeldOut = true
	for k := range last.Rounds {
		last.Rounds[k].Proxies.BytesIn *= 2
	}
	m := NewModels(results, result.SourceRelay, true)
	with := m.Model(Proxies, BytesIn).Terms
	for i := range with {
		if math.Abs(with[i].Value/without[i].Value-1) > 1e-6 {
			t.Errorf("%s: %g with a held-out point, %g without", with[i].Name, with[i].Value, without[i].Value)
		}
	}
	found := false
	for _, c := range m.HeldOut(results) {
		if c.Metric == BytesIn {
			found = true
			if math.Abs(c.Ratio()-0.5) > 0.01 || WithinTolerance(c.Ratio()) {
				t.Errorf("ratio %.3f, within tolerance %v; want 0.5 and false", c.Ratio(), WithinTolerance(c.Ratio()))
			}
			if math.Abs(c.LineRatio()-0.5) > 0.01 {
				t.Errorf("ratio by the line %.3f, want 0.5", c.LineRatio())
			}
		}
	}
	if !found {
		t.Error("no comparison of the held-out point")
	}
}

func TestPairsCompareTheSameSizes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	hollow := sweepOfTruth(result.Proxies, 0, slopes{proxy: 100}.at, 0, rng)
	actual := sweepOfTruth(result.Proxies, 0, slopes{proxy: 150}.at, 0, rng)
	actual.Hollow = false
	actual.Points = actual.Points[:1]
	pairs := Pairs([]*result.Result{hollow, actual})
	if len(pairs) == 0 || pairs[len(pairs)-1].Size.Proxies != 100 {
		t.Fatalf("got %+v, want pairs of 100 proxies", pairs)
	}
	for _, p := range pairs {
		if p.Metric == BytesIn && math.Abs(p.Real/p.Hollow-1.5) > 0.01 {
			t.Errorf("got %+v, want a ratio of 1.5", p)
		}
	}
}
