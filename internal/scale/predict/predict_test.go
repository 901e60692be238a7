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

// True costs behind the synthetic sweeps, in bytes and cores per second.
const (
	readsPerService   = 0.5
	bytesPerEndpoint  = 100.0 // of a complete list
	relayBytesAtRest  = 80.0  // per proxy
	bytesPerChange    = 300.0
	cpuPerEndpoint    = 1e-6 // CPU seconds of the list service
	memoryPerEndpoint = 400.0
	memoryPerProcess  = 1e7
)

// syntheticSweeps returns sweeps of a source along four dimensions, each with and without changes.
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

// near reports whether got differs from want by at most a part of it.
func near(got, want, part float64) bool { return math.Abs(got-want) <= part*math.Abs(want) }

func TestProxyNeedsFollowFromKnownCosts(t *testing.T) {
	c := newTestCalculator(t)
	model := newFleetModel(c.target.Target, c.target)
	endpoints := model.endpointsFollowed()
	atRest := withoutCalls(model.driversAtRest())
	consul := c.proxyNeeds(result.SourceConsul, atRest)
	if want := bytesPerEndpoint * readsPerService * endpoints; !near(consul.in.value, want, 0.02) {
		t.Errorf("consul at rest: %.0f B/s per proxy, %.0f expected", consul.in.value, want)
	}
	if got := c.proxyNeeds(result.SourceRelay, atRest).in.value; !near(got, relayBytesAtRest, 0.02) {
		t.Errorf("distribution at rest: %.0f B/s per proxy, %.0f expected", got, relayBytesAtRest)
	}
	wantMemory := c.target.Assumed(ProcessBytes) + memoryPerEndpoint*endpoints
	if !near(consul.memory.value, wantMemory, 0.02) {
		t.Errorf("memory: %.0f per proxy, %.0f expected", consul.memory.value, wantMemory)
	}
	cost := c.evidence.listReadCost(c.target)
	if !cost.isMeasured || !near(cost.bytesPerEndpoint, bytesPerEndpoint, 0.02) ||
		!near(cost.cpuPerEndpoint, 1e-6*100/100, 0.02) {
		t.Errorf("a list read costs %+v", cost)
	}
}

func TestFleetModelHasTheStatedSums(t *testing.T) {
	target := readTestTarget(t)
	for _, followed := range []float64{0.5, 1, 10, 200, 1200} {
		f := target.Target
		f.ServicesFollowed = followed
		model := newFleetModel(f, target)
		if !near(total(model.sizes), 28_000, 1e-6) || model.sizes[0] != 1000 {
			t.Errorf("%g followed: %.1f backends in all, the largest service has %.1f",
				followed, total(model.sizes), model.sizes[0])
		}
		if !near(total(model.followed), followed, 1e-6) {
			t.Errorf("%g followed: the parts add up to %g", followed, total(model.followed))
		}
	}
}

func TestConnectionsOfABackend(t *testing.T) {
	target := readTestTarget(t)
	model := newFleetModel(target.Target, target)
	mean, most := model.connectionsIn(0)
	if !near(mean, model.callers(0)*model.subset(0)/1000, 0.01) || most < mean || most > 1.5*mean {
		t.Errorf("%.0f connections in the mean, %.0f at most", mean, most)
	}
	all, dialled := model.connectionsWithoutSubsets(0, 1e9)
	if !near(all, model.callers(0), 1e-6) || dialled > 1e-6 {
		t.Errorf("connections that are never closed: %.0f, %.3f of calls on new ones; %.0f and none expected",
			all, dialled, model.callers(0))
	}
}

func TestEventsQueueOnlyWhereMachinesAreTooFew(t *testing.T) {
	c := newTestCalculator(t)
	model := newFleetModel(c.target.Target, c.target)
	if got := c.inForce(result.SourceConsul, 1).value; !near(got, 0.25, 0.01) {
		t.Errorf("%.2f s, the measured 0.1 and a round trip expected", got)
	}
	if got := c.inForce(result.SourceRelay, relayHops).value; !near(got, 0.3, 0.01) {
		t.Errorf("%.2f s over distribution, a relay's coalescing time more expected", got)
	}
	enough, few := c.queueDelay(100, 1, 50), c.queueDelay(1e5, 1, 50)
	if enough != 0 || !near(few, 1e5/400-1, 0.01) {
		t.Errorf("queues of %.2f and %.2f s, none and that of what exceeds 400 cores expected", enough, few)
	}
	for _, e := range c.events(model) {
		consul := c.predictEvent(result.SourceConsul, model, e)
		relay := c.predictEvent(result.SourceRelay, model, e)
		if !consul.inForce.known || !relay.inForce.known {
			t.Errorf("%s: over consul %+v, over distribution %+v; both known expected", e.name, consul, relay)
		}
		if relay.bytes.value > consul.bytes.value && e.load.total() > 100 && e.listReads == 0 {
			t.Errorf("%s: over consul %+v, over distribution %+v; fewer bytes expected", e.name, consul, relay)
		}
	}
}

func TestSectionsSayThatNothingIsMeasured(t *testing.T) {
	c := NewCalculator(readTestTarget(t), NewEvidence(nil, nil))
	for _, s := range Sections() {
		text, err := c.markdown(s)
		isMeasured := s != sectionSizes && s != sectionAssumptions
		if err != nil || isMeasured && !strings.Contains(strings.ToLower(text), "not measured") {
			t.Errorf("%s: %v\n%s", s, err, text)
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
	if got := c.addedLatency(1).without; !got.known || !near(got.value, 2, 1e-9) {
		t.Errorf("one hop: %+v, 2 expected", got)
	}
	if got := c.addedLatency(7); got.without.known || !strings.Contains(got.figures, "0.5 ms in half of the rounds") {
		t.Errorf("seven hops: %+v, the noise expected", got)
	}
	rows := c.Latencies().Rows
	last := len(rows[0]) - 1
	if rows[0][last] != "**misses by 2 times**" || !strings.HasPrefix(rows[1][last], "cannot be told") {
		t.Errorf("%q and %q", rows[0][last], rows[1][last])
	}
}

func TestFillReplacesTheTextBetweenMarkers(t *testing.T) {
	c := newTestCalculator(t)
	page := "before\n" + markerBegin + "sizes" + markerClose + "\nstale\n" + markerEnd + "\nafter\n"
	once, err := c.Fill(page)
	isKept := strings.HasPrefix(once, "before\n") && strings.HasSuffix(once, markerEnd+"\nafter\n")
	if err != nil || strings.Contains(once, "stale") || !isKept {
		t.Fatalf("%v\n%s", err, once)
	}
	if twice, err := c.Fill(once); err != nil || twice != once {
		t.Errorf("filled again it differs: %v", err)
	}
	for _, test := range []struct{ page, want string }{
		{markerBegin + "sizes" + markerClose + "\n", "line 1: the marker has no end"},
		{"\n" + markerEnd + "\n", "line 2: an end without a marker"},
		{markerBegin + "size" + markerClose + "\n" + markerEnd + "\n", `line 1: section "size", one of sizes, roles`},
		{strings.Repeat(markerBegin+"sizes"+markerClose+"\n"+markerEnd+"\n", 2), "line 3: section sizes stands twice"},
		{strings.Repeat(markerBegin+"sizes"+markerClose+"\n", 2), "line 2: a marker begins"},
	} {
		if _, err := c.Fill(test.page); err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%v; %s expected", err, test.want)
		}
	}
}

// The subset is computed with the constants of package logic, which does not export them.
func TestSubsetHasTheConstantsOfPackageLogic(t *testing.T) {
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
			t.Errorf("logic does not say %q any more: connections.go follows it", want)
		}
	}
}
