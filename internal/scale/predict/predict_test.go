package predict

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// True costs of the synthetic sweeps, in bytes and cores per second.
const (
	readsPerService   = 0.5
	bytesPerEndpoint  = 100.0 // of a snapshot
	relayBytesAtRest  = 80.0  // per proxy
	bytesPerChange    = 300.0
	cpuPerEndpoint    = 1e-6 // CPU seconds of the list service
	memoryPerEndpoint = 400.0
	memoryPerProcess  = 1e7
)

// syntheticSweeps returns sweeps of a source along four dimensions, with and without changes.
func syntheticSweeps(source result.Source) []File {
	var files []File
	for _, d := range []result.Dimension{result.Proxies, result.Services, result.Backends, result.Changes} {
		for _, changes := range []float64{0, 4} {
			files = append(files, File{
				Name:   string(source) + "-" + string(d) + formatNumber(changes) + ".json",
				Result: syntheticSweep(source, d, changes),
			})
		}
	}
	return files
}

func syntheticSweep(source result.Source, d result.Dimension, changes float64) *result.Result {
	r := &result.Result{Format: result.Format, Scenario: string(d), Source: source, Dimension: d, Hollow: true}
	for k := range 5 {
		size := result.Size{Proxies: 200, Services: 10, TotalServices: 100, Backends: 23, ChangesPerSecond: changes}
		factor := 1 << k
		switch d {
		case result.Proxies:
			size.Proxies *= factor
		case result.Services:
			size.Services = 2 * factor
			size.TotalServices = 50 * factor
		case result.Backends:
			size.Backends = 10 * factor
		case result.Changes:
			size.ChangesPerSecond = float64(factor)
		case result.Calls:
			panic("no sweep of calls is synthesized")
		}
		r.Points = append(r.Points, result.Point{Size: size, Rounds: []result.Round{syntheticRound(source, size)}})
	}
	return r
}

func syntheticRound(source result.Source, size result.Size) result.Round {
	const span = 10.0
	d := fit.DriversOf(size, 2, 0)
	in, reads := relayBytesAtRest*d.Proxies+bytesPerChange*d.Delivered, 0.25*d.Proxies
	if source == result.SourceConsul {
		reads = d.ListsRead
		in = bytesPerEndpoint * d.EndpointsRead
	}
	endpoints := in / bytesPerEndpoint
	r := result.Round{
		Seconds: span,
		Proxies: result.Cost{
			Processes:   2,
			CPUSeconds:  span * cpuPerEndpoint * endpoints,
			RSSBytes:    int64(2*memoryPerProcess + memoryPerEndpoint*d.EndpointsHeld),
			BytesIn:     int64(span * in),
			MessagesIn:  int64(span * reads),
			Connections: size.Proxies,
		},
		Lists: result.Cost{Processes: 1, Connections: size.Proxies, RSSBytes: 1e7},
	}
	if d.Changes > 0 {
		r.Propagation = result.TimeSummary{Count: 10, P50: 0.02, P99: 0.1, Max: 0.1}
	}
	served := result.Cost{
		Processes:   1,
		CPUSeconds:  span * cpuPerEndpoint * endpoints,
		RSSBytes:    1e7,
		BytesOut:    int64(span * in),
		MessagesOut: int64(span * reads),
		Connections: size.Proxies,
	}
	if source == result.SourceRelay {
		r.Relays = served
	} else {
		r.Lists = served
	}
	return r
}

func newTestCalculator(tb testing.TB) *Calculator {
	tb.Helper()
	files := append(syntheticSweeps(result.SourceConsul), syntheticSweeps(result.SourceRelay)...)
	return NewCalculator(readTestTarget(tb), NewEvidence(files, nil))
}

// approxEqual reports whether got differs from want by at most the fraction part of want.
func approxEqual(got, want, part float64) bool { return math.Abs(got-want) <= part*math.Abs(want) }

func TestProxyNeedsFollowFromKnownCosts(t *testing.T) {
	c := newTestCalculator(t)
	model := newFleetModel(c.target.Target, c.target)
	endpoints := model.endpointsFollowed()
	atRest := withoutCalls(model.driversAtRest())
	consul := c.proxyNeeds(result.SourceConsul, atRest)
	if want := bytesPerEndpoint * readsPerService * endpoints; !approxEqual(consul.in.value, want, 0.02) {
		t.Errorf("idle consul: %.0f B/s per proxy, want %.0f", consul.in.value, want)
	}
	if got := c.proxyNeeds(result.SourceRelay, atRest).in.value; !approxEqual(got, relayBytesAtRest, 0.02) {
		t.Errorf("idle distribution: %.0f B/s per proxy, want %.0f", got, relayBytesAtRest)
	}
	wantMemory := c.target.Assumed(ProcessBytes) + memoryPerEndpoint*endpoints
	if !approxEqual(consul.memory.value, wantMemory, 0.02) {
		t.Errorf("memory: %.0f bytes per proxy, want %.0f", consul.memory.value, wantMemory)
	}
	cost := c.evidence.listReadCost(c.target)
	if !cost.isMeasured || !approxEqual(cost.bytesPerEndpoint, bytesPerEndpoint, 0.02) ||
		!approxEqual(cost.cpuPerEndpoint, 1e-6*100/100, 0.02) {
		t.Errorf("cost of a list read %+v, want a measured cost of %g B per endpoint", cost, bytesPerEndpoint)
	}
}

func TestFleetModelHasTheStatedSums(t *testing.T) {
	target := readTestTarget(t)
	for _, followed := range []float64{0.5, 1, 10, 200, 1200} {
		f := target.Target
		f.ServicesFollowed = followed
		model := newFleetModel(f, target)
		if !approxEqual(total(model.sizes), 28_000, 1e-6) || model.sizes[0] != 1000 {
			t.Errorf("%g followed: %.1f backends, %.1f of the largest service; want 28000 and 1000",
				followed, total(model.sizes), model.sizes[0])
		}
		if !approxEqual(total(model.followed), followed, 1e-6) {
			t.Errorf("%g followed: sum of the fractions %g", followed, total(model.followed))
		}
	}
}

func TestConnectionsOfBackend(t *testing.T) {
	target := readTestTarget(t)
	model := newFleetModel(target.Target, target)
	mean, maximum := model.connectionsIn(0)
	if !approxEqual(mean, model.callers(0)*model.subset(0)/1000, 0.01) || maximum < mean || maximum > 1.5*mean {
		t.Errorf("mean of %.0f connections, maximum of %.0f; want a maximum of 1 to 1.5 times the mean", mean, maximum)
	}
	all, dialled := model.connectionsWithoutSubsets(0, 1e9)
	if !approxEqual(all, model.callers(0), 1e-6) || dialled > 1e-6 {
		t.Errorf("without idle timeout: %.0f connections, %.3f of calls on new connections; want %.0f and 0",
			all, dialled, model.callers(0))
	}
}

func TestEventsQueueOnlyBeyondCapacity(t *testing.T) {
	c := newTestCalculator(t)
	model := newFleetModel(c.target.Target, c.target)
	if got := c.propagationTime(result.SourceConsul, 1).value; !approxEqual(got, 0.25, 0.01) {
		t.Errorf("propagation over consul %.2f s, want the measured 0.1 s plus a round trip", got)
	}
	if got := c.propagationTime(result.SourceRelay, relayHops).value; !approxEqual(got, 0.3, 0.01) {
		t.Errorf("propagation over distribution %.2f s, want the coalescing time of a relay more than consul", got)
	}
	enough, few := c.queueDelay(100, 1, 50), c.queueDelay(1e5, 1, 50)
	if enough != 0 || !approxEqual(few, 1e5/400-1, 0.01) {
		t.Errorf("queueing delays %.2f and %.2f s, want 0 and the delay by the excess over 400 cores", enough, few)
	}
	for _, e := range c.events(model) {
		consul := c.predictEvent(result.SourceConsul, model, e)
		relay := c.predictEvent(result.SourceRelay, model, e)
		if !consul.propagation.known || !relay.propagation.known {
			t.Errorf("%s: consul %+v, distribution %+v; want both known", e.name, consul, relay)
		}
		if relay.bytes.value > consul.bytes.value && e.load.total() > 100 && e.listReads == 0 {
			t.Errorf("%s: consul %+v, distribution %+v; want fewer bytes over distribution", e.name, consul, relay)
		}
	}
}

func TestSectionsWithoutMeasurements(t *testing.T) {
	c := NewCalculator(readTestTarget(t), NewEvidence(nil, nil))
	for _, s := range Sections() {
		text, err := c.markdown(s)
		isMeasured := s != sectionSizes && s != sectionAssumptions
		if err != nil || isMeasured && !strings.Contains(strings.ToLower(text), "not measured") {
			t.Errorf("%s: error %v, want \"not measured\" in:\n%s", s, err, text)
		}
	}
}

func TestLatencyVerdictNeedsLittleNoise(t *testing.T) {
	added := Spread{Median: 0.68, Lowest: 0.6, Highest: 0.7}
	quiet := Latency{Hops: 1, RatePerSecond: 271, AddedP99: added, Noise: 0.1}
	quiet.DirectDifferenceP99 = Spread{Lowest: -0.1, Highest: 0.1}
	noisy := Latency{Hops: 7, RatePerSecond: 271, AddedP99: added, Noise: 0.5}
	noisy.DirectDifferenceP99 = Spread{Lowest: -4, Highest: 0.1}
	c := NewCalculator(readTestTarget(t), NewEvidence(nil, []Latency{quiet, noisy}))
	if got := c.addedLatency(1).without; !got.known || !approxEqual(got.value, 2, 1e-9) {
		t.Errorf("one hop: got %+v, want 2", got)
	}
	if got := c.addedLatency(7); got.without.known || !strings.Contains(got.details, "0.5 ms in half of the rounds") {
		t.Errorf("seven hops: got %+v, want an unknown ratio and the noise", got)
	}
	rows := c.Latencies().Rows
	last := len(rows[0]) - 1
	if rows[0][last] != "**misses by 2 times**" || !strings.HasPrefix(rows[1][last], "cannot be told") {
		t.Errorf("verdicts %q and %q, want a miss by 2 times and no verdict", rows[0][last], rows[1][last])
	}
}

func TestFillReplacesTextBetweenMarkers(t *testing.T) {
	c := newTestCalculator(t)
	page := "before\n" + markerBegin + "sizes" + markerClose + "\nstale\n" + markerEnd + "\nafter\n"
	once, err := c.Fill(page)
	isKept := strings.HasPrefix(once, "before\n") && strings.HasSuffix(once, markerEnd+"\nafter\n")
	if err != nil || strings.Contains(once, "stale") || !isKept {
		t.Fatalf("error %v, want only the text between the markers replaced in:\n%s", err, once)
	}
	if twice, err := c.Fill(once); err != nil || twice != once {
		t.Errorf("a second Fill changes the page: %v", err)
	}
	for _, test := range []struct{ page, want string }{
		{markerBegin + "sizes" + markerClose + "\n", "line 1: marker without an end marker"},
		{"\n" + markerEnd + "\n", "line 2: end marker without a marker"},
		{
			markerBegin + "size" + markerClose + "\n" + markerEnd + "\n",
			`line 1: unknown section "size": want one of sizes, roles`,
		},
		{strings.Repeat(markerBegin+"sizes"+markerClose+"\n"+markerEnd+"\n", 2), "line 3: duplicate section sizes"},
		{strings.Repeat(markerBegin+"sizes"+markerClose+"\n", 2), "line 2: nested marker"},
	} {
		if _, err := c.Fill(test.page); err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("got error %v, want prefix %s", err, test.want)
		}
	}
}

// The subset is computed with copies of unexported constants of package logic.
func TestSubsetConstantsMatchPackageLogic(t *testing.T) {
	source, err := os.ReadFile("../../../logic/subset.go")
	if err != nil {
		t.Fatal(err)
	}
	words := strings.Join(strings.Fields(string(source)), " ")
	for name, value := range map[string]float64{
		"minSubset":          minSubset,
		"subsetRateFactor":   subsetRateFactor,
		"goldenRatioInverse": goldenRatioInverse,
	} {
		if want := fmt.Sprintf("%s = %v", name, value); !strings.Contains(words, want) {
			t.Errorf("logic/subset.go does not contain %q: connections.go has to match it", want)
		}
	}
}
