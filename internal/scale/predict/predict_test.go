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

const targetFile = "../../../deploy/scale/target.toml"

func target(t testing.TB) *Target {
	t.Helper()
	data, err := os.ReadFile(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	x, err := ReadTarget("target.toml", data)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// True costs of made-up runs: of a proxy in bytes and cores a second, by the drivers.
const (
	readsAService  = 0.5
	bytesAnEntry   = 100.0 // of a whole list
	relayAtRest    = 80.0
	bytesAChange   = 300.0
	coresAnEntry   = 1e-6 // CPU seconds of the list service
	memoryAnEntry  = 400.0
	memoryAProcess = 1e7
)

// play makes up the sweeps of a way.
func play(w way) (files []File) {
	for _, d := range []result.Dimension{result.Proxies, result.Services, result.Backends, result.Changes} {
		for _, changes := range []float64{0, 4} {
			r := &result.Result{Format: result.Format, Scenario: string(d), Source: w, Dimension: d, Hollow: true}
			for k := range 5 {
				size := result.Size{Proxies: 200, Services: 10, ServicesInAll: 100, Backends: 23, ChangesPerSecond: changes}
				factor := 1 << k
				switch d {
				case result.Proxies:
					size.Proxies *= factor
				case result.Services:
					size.Services, size.ServicesInAll = 2*factor, 50*factor
				case result.Backends:
					size.Backends = 10 * factor
				case result.Changes:
					size.ChangesPerSecond = float64(factor)
				}
				r.Points = append(r.Points, result.Point{Size: size, Rounds: []result.Round{made(w, size)}})
			}
			files = append(files, File{Name: string(w) + "-" + string(d) + short(changes) + ".json", Result: r})
		}
	}
	return files
}

func made(w way, size result.Size) result.Round {
	const span = 10.0
	d := fit.DriversOf(size, 2, 0)
	r := result.Round{
		Seconds: span, Proxies: result.Cost{Processes: 2, RSSBytes: int64(2*memoryAProcess + memoryAnEntry*d.EndpointsHeld), Connections: size.Proxies},
		Lists: result.Cost{Processes: 1, Connections: size.Proxies, RSSBytes: 1e7},
	}
	if d.Changes > 0 {
		r.InForce = result.Spread{Count: 10, P50: 0.02, P99: 0.1, Max: 0.1}
	}
	in, reads := relayAtRest*d.Proxies+bytesAChange*d.Delivered, 0.25*d.Proxies
	if w == result.SourceConsul {
		reads = d.ListsRead
		in = bytesAnEntry * d.EndpointsRead
	}
	entries := in / bytesAnEntry
	r.Proxies.BytesIn, r.Proxies.MessagesIn, r.Proxies.CPUSeconds = int64(span*in), int64(span*reads), span*coresAnEntry*entries
	served := result.Cost{Processes: 1, CPUSeconds: span * coresAnEntry * entries, BytesOut: int64(span * in), MessagesOut: int64(span * reads), RSSBytes: 1e7, Connections: size.Proxies}
	if w == result.SourceRelay {
		r.Relays = served
	} else {
		r.Lists = served
	}
	return r
}

func calculator(t testing.TB) *Calculator {
	return NewCalculator(target(t), NewEvidence(append(play(result.SourceConsul), play(result.SourceRelay)...), nil))
}

func near(got, want, part float64) bool { return math.Abs(got-want) <= part*math.Abs(want) }

func TestProxyNeedsFollowFromKnownCosts(t *testing.T) {
	c := calculator(t)
	s := shapeOf(c.t.Target, c.t)
	endpoints := s.endpointsFollowed()
	rest := control(s.atRest())
	if got, want := c.proxyNeeds(result.SourceConsul, rest).in.value, bytesAnEntry*readsAService*endpoints; !near(got, want, 0.02) {
		t.Errorf("consul at rest: %.0f B/s a proxy, %.0f expected", got, want)
	}
	if got := c.proxyNeeds(result.SourceRelay, rest).in.value; !near(got, relayAtRest, 0.02) {
		t.Errorf("distribution at rest: %.0f B/s a proxy, %.0f expected", got, relayAtRest)
	}
	if got, want := c.proxyNeeds(result.SourceConsul, rest).memory.value, c.t.Get(ProcessBytes)+memoryAnEntry*endpoints; !near(got, want, 0.02) {
		t.Errorf("memory: %.0f a proxy, %.0f expected", got, want)
	}
	whole := c.e.wholeReading(c.t)
	if !whole.measured || !near(whole.bytesAnEndpoint, bytesAnEntry, 0.02) || !near(whole.coresAnEndpoint, 1e-6*100/100, 0.02) {
		t.Errorf("a whole reading costs %+v", whole)
	}
}

func TestShapeHasTheSumsThatAreTold(t *testing.T) {
	x := target(t)
	for _, followed := range []float64{0.5, 1, 10, 200, 1200} {
		f := x.Target
		f.ServicesFollowed = followed
		s := shapeOf(f, x)
		if !near(total(s.sizes), 28_000, 1e-6) || s.sizes[0] != 1000 {
			t.Errorf("%g followed: %.1f backends in all, the largest service has %.1f", followed, total(s.sizes), s.sizes[0])
		}
		if !near(total(s.followed), followed, 1e-6) {
			t.Errorf("%g followed: they add up to %g", followed, total(s.followed))
		}
	}
}

func TestConnectionsOfABackend(t *testing.T) {
	s := shapeOf(target(t).Target, target(t))
	mean, most := s.connectionsIn(0)
	if !near(mean, s.callers(0)*s.subset(0)/1000, 0.01) || most < mean || most > 1.5*mean {
		t.Errorf("%.0f connections in the mean, %.0f at most", mean, most)
	}
	all, dialled := s.unspread(0, 1e9)
	if !near(all, s.callers(0), 1e-6) || dialled > 1e-6 {
		t.Errorf("connections that are never closed: %.0f, %.3f of calls on new ones; %.0f and none expected", all, dialled, s.callers(0))
	}
}

func TestAZonesLossIsQueuedWhereMachinesAreTooFew(t *testing.T) {
	c := calculator(t)
	s := shapeOf(c.t.Target, c.t)
	if got := c.inForce(result.SourceConsul, 1).value; !near(got, 0.25, 0.01) {
		t.Errorf("%.2f s, the measured 0.1 and a round trip expected", got)
	}
	if got := c.inForce(result.SourceRelay, relayHops).value; !near(got, 0.3, 0.01) {
		t.Errorf("%.2f s by distribution, a relay's hold more expected", got)
	}
	if enough, few := c.queue(100, 1, 50), c.queue(1e5, 1, 50); enough != 0 || !near(few, 1e5/400-1, 0.01) {
		t.Errorf("queues of %.2f and %.2f s, none and that of what 400 cores cannot do expected", enough, few)
	}
	for _, x := range c.events(s) {
		a, b := c.play(result.SourceConsul, s, x), c.play(result.SourceRelay, s, x)
		if !a.inForce.known || !b.inForce.known || b.bytes.value > a.bytes.value && x.load.total() > 100 && x.reads == 0 {
			t.Errorf("%s: by consul %+v, by distribution %+v", x.name, a, b)
		}
	}
}

func TestWithoutResultsEverySectionSaysSo(t *testing.T) {
	c := NewCalculator(target(t), NewEvidence(nil, nil))
	for _, s := range Sections() {
		text, err := c.text(s)
		if err != nil || s != "sizes" && s != "assumptions" && !strings.Contains(strings.ToLower(text), "not measured") {
			t.Errorf("%s: %v\n%s", s, err, text)
		}
	}
}

func TestLatencyIsJudgedOnlyWhereNoiseIsSmaller(t *testing.T) {
	x := target(t)
	quiet := Latency{Hops: 1, RatePerSecond: 271, AddedP99: Spread{0.68, 0.6, 0.7}, SameP99: Spread{0, -0.1, 0.1}, Noise: 0.1}
	noisy := Latency{Hops: 7, RatePerSecond: 271, AddedP99: Spread{0.68, 0.6, 0.7}, SameP99: Spread{0, -4, 0.1}, Noise: 0.5}
	c := NewCalculator(x, NewEvidence(nil, []Latency{quiet, noisy}))
	if got := c.addedLatency(1).without; !got.known || !near(got.value, 2, 1e-9) {
		t.Errorf("one hop: %+v, 2 expected", got)
	}
	if got := c.addedLatency(7); got.without.known || !strings.Contains(got.figures, "0.5 ms in half of the rounds") {
		t.Errorf("seven hops: %+v, the noise expected", got)
	}
	rows := c.Latencies().Rows
	if last := len(rows[0]) - 1; rows[0][last] != "**misses by 2 times**" || !strings.HasPrefix(rows[1][last], "cannot be told") {
		t.Errorf("%q and %q", rows[0][last], rows[1][last])
	}
}

func TestFillReplacesWhatStandsBetweenMarkers(t *testing.T) {
	c := calculator(t)
	page := "before\n" + begin + "sizes" + closed + "\nstale\n" + finish + "\nafter\n"
	once, err := c.Fill(page)
	if err != nil || strings.Contains(once, "stale") || !strings.HasPrefix(once, "before\n") || !strings.HasSuffix(once, finish+"\nafter\n") {
		t.Fatalf("%v\n%s", err, once)
	}
	if twice, err := c.Fill(once); err != nil || twice != once {
		t.Errorf("filled again it differs: %v", err)
	}
	for _, c2 := range []struct{ page, want string }{
		{begin + "sizes" + closed + "\n", "line 1: the marker has no end"},
		{"\n" + finish + "\n", "line 2: an end without a marker"},
		{begin + "size" + closed + "\n" + finish + "\n", `line 1: section "size", one of sizes, roles`},
		{strings.Repeat(begin+"sizes"+closed+"\n"+finish+"\n", 2), "line 3: section sizes stands twice"},
		{strings.Repeat(begin+"sizes"+closed+"\n", 2), "line 2: a marker begins"},
	} {
		if _, err := c.Fill(c2.page); err == nil || !strings.HasPrefix(err.Error(), c2.want) {
			t.Errorf("%v; %s expected", err, c2.want)
		}
	}
}

func TestReadTargetRefusesByPlace(t *testing.T) {
	data, err := os.ReadFile(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, put, want string }{
		{"format = 1", "format = 2", "t.toml:3"},
		{"proxies = 28_000", "proxies = 0", "target.proxies"},
		{"proxies = 28_000\n", "", "target.proxies"},
		{"services = 1_200", "services = 1_200\nservice = 3", "target.service"},
		{"[1, 2, 5", "[0, 2, 5", "curve.services_followed[1]"},
		{"[1, 2, 5", "[5, 2, 5", "ascending numbers expected"},
		{`name = "rack_backends"`, `name = "rack_backend"`, "rack_backends meant?"},
		{`name = "rack_backends"`, `name = "cut_seconds"`, "each assumption once expected"},
		{"[limits]", "[limits]\nspeed = 1", "limits.speed"},
	} {
		_, err := ReadTarget("t.toml", []byte(strings.Replace(string(data), c.old, c.put, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "t.toml:") {
			t.Errorf("%s: %v; %s expected", c.put, err, c.want)
		}
	}
}

func FuzzReadTarget(f *testing.F) {
	data, err := os.ReadFile(targetFile)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("format = 1\n[target]\nproxies = 3"))
	f.Fuzz(func(t *testing.T, data []byte) {
		x, err := ReadTarget("t.toml", data)
		if (x == nil) == (err == nil) {
			t.Errorf("%v and %v", x, err)
		}
	})
}

// The subset is worked out by the constants of package logic, which does not export them.
func TestSubsetIsThatOfTheDecisionModule(t *testing.T) {
	source, err := os.ReadFile("../../../logic/subset.go")
	if err != nil {
		t.Fatal(err)
	}
	words := strings.Join(strings.Fields(string(source)), " ")
	for name, value := range map[string]float64{"minSubset": subsetLeast, "subsetRateFactor": subsetRoot, "goldenRatioInverse": golden} {
		if want := fmt.Sprintf("%s = %v", name, value); !strings.Contains(words, want) {
			t.Errorf("logic does not say %q any more: connections.go follows it", want)
		}
	}
}
