package fleetsim

import (
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"testing"

	"fernlanding/logic"
)

// readFile reads a file of testdata.
func readFile(tb testing.TB, name string) File {
	tb.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		tb.Fatal(err)
	}
	return File{Name: name, Data: data}
}

// faultDays returns the days of testdata/hard, each applied to the fleet of the base file.
func faultDays(t *testing.T, base string) []*Day {
	t.Helper()
	names, err := filepath.Glob("testdata/hard/*.toml")
	if err != nil || len(names) < 10 {
		t.Fatalf("got %d files in testdata/hard, error %v; want at least 10", len(names), err)
	}
	var days []*Day
	for _, name := range names {
		d, err := Read(readFile(t, base), readFile(t, filepath.Join("hard", filepath.Base(name))))
		if err != nil {
			t.Fatal(err)
		}
		days = append(days, d)
	}
	return days
}

// parallelFor calls f with 0 to n-1, concurrently on all cores.
func parallelFor(n int, f func(int)) {
	var workers sync.WaitGroup
	cores := runtime.GOMAXPROCS(0)
	for c := range cores {
		workers.Go(func() {
			for i := c; i < n; i += cores {
				f(i)
			}
		})
	}
	workers.Wait()
}

// No day may violate an audit rule. The results must stay within bounds, which are the figures of
// the operators' page with a small margin. The seeds come from a stream that nothing was tuned on.
func TestFaultDaysHaveNoViolations(t *testing.T) {
	seeds := 8 // about 430 runs, with the fault-free runs
	if raceEnabled {
		seeds = 1
	}
	for _, c := range []struct {
		base     string
		service  float64 // minimum of the median service
		recovery float64 // maximum of the median recovery, seconds
		excess   float64 // maximum of the mean excess shedding by limits
	}{{"base.toml", 0.77, 3, 0.12}, {"small.toml", 0.66, 3, 0.16}} {
		days := faultDays(t, c.base)
		if raceEnabled && c.base != "small.toml" {
			continue
		}
		outcomes := Sweep(days, Seeds(2, seeds), parallelFor)
		for _, o := range outcomes {
			if len(o.Violations) > 0 {
				t.Errorf("%s, %s, seed %d: got violations %v, want none", c.base, o.Day, o.Seed, o.Violations)
			}
		}
		s := Summarize(outcomes)
		withinBounds := s.Service50 >= c.service && s.Recovery50 <= c.recovery && s.ExcessByLimits <= c.excess
		if !raceEnabled && !withinBounds {
			t.Errorf("%s: got %+v, want results within %+v", c.base, s, c)
		}
	}
}

// Equal days must give equal results, also when they run concurrently. Another seed must change the
// result.
func TestRunIsDeterministic(t *testing.T) {
	for _, d := range faultDays(t, "small.toml") {
		if raceEnabled && d.Name != "reload" {
			continue
		}
		runs := make([]*Result, 3)
		parallelFor(len(runs), func(i int) {
			day := *d
			day.Seed = uint64(1 + i/2)
			runs[i] = Run(&day, Options{Trace: true})
			runs[i].Day = nil
		})
		if !reflect.DeepEqual(runs[0], runs[1]) {
			t.Errorf("%s: two runs with the same seed differ", d.Name)
		}
		if reflect.DeepEqual(runs[0].Metrics, runs[2].Metrics) {
			t.Errorf("%s: runs with different seeds have the same metrics", d.Name)
		}
	}
}

// Client requests and their weights must depend on the seed alone, so that a day and the same day
// without faults have the same requests.
func TestFaultsDoNotChangeRequests(t *testing.T) {
	for _, d := range faultDays(t, "base.toml") {
		if d.Name == "overdriven" { // its burst adds requests
			continue
		}
		d.Seed = 3
		x, y := newSimulation(d, Options{}).workload(), newSimulation(d.WithoutFaults(), Options{}).workload()
		if len(x) == 0 || !reflect.DeepEqual(x, y) {
			t.Errorf("%s: got %d requests, want the %d of the fault-free day", d.Name, len(x), len(y))
		}
	}
}

// The audit must report each kind of violation.
func TestAuditReportsViolations(t *testing.T) {
	d, err := Read(readFile(t, "base.toml"))
	if err != nil {
		t.Fatal(err)
	}
	nonIdempotent, byKey := d.classIndex("post"), d.classIndex("rate")
	for _, c := range []struct {
		want    string
		violate func(s *simulation, job func(class int) *job)
	}{
		{"an unsafe request ran twice", func(s *simulation, job func(int) *job) {
			s.audit.recordRun(s.backends[0][0], job(nonIdempotent))
			s.audit.recordRun(s.backends[0][0], job(nonIdempotent))
		}},
		{"ran in two cells", func(s *simulation, job func(int) *job) {
			s.backends[0][0].cell, s.backends[0][1].cell = 0, 1
			s.audit.recordRun(s.backends[0][0], job(byKey))
			s.audit.recordRun(s.backends[0][1], job(byKey))
		}},
		{"after its window", func(s *simulation, job func(int) *job) {
			s.audit.recordRun(s.backends[0][0], job(byKey))
			s.now += 8_000_000
			s.audit.recordRun(s.backends[0][0], job(byKey))
		}},
		{"a refusal of what has run", func(s *simulation, job func(int) *job) {
			s.audit.recordRun(s.backends[0][0], job(nonIdempotent))
			s.audit.recordShed(job(nonIdempotent).attempt.request)
		}},
		{"after its drain was told", func(s *simulation, job func(int) *job) {
			r, b := s.front[0], s.backends[0][0]
			r.requests["x"] = &request{id: "x", client: &clientRequest{}, replica: r}
			b.state = logic.Draining
			r.updateEndpoints(logic.Delta, []logic.Endpoint{b.entry()})
			s.now += drainGrace + 1
			r.host().Forward("x", b.id, 1)
		}},
		{"a Send that cannot be", func(s *simulation, _ func(int) *job) {
			s.front[0].host().Forward("none", s.backends[0][0].id, 1)
		}},
		{"a cold backend was pushed over", func(s *simulation, job func(int) *job) {
			b := s.backends[0][0]
			b.startedAt, s.now = 1, 1
			for range 100 {
				b.recordColdWork(1e6)
			}
		}},
		{"two final answers", func(s *simulation, job func(int) *job) {
			q := &request{id: "x", client: &clientRequest{}, giveUpAt: 1 << 40, onAnswer: func(answer) {}}
			s.front[0].end(q, answer{})
			s.front[0].end(q, answer{})
		}},
		{"after its client gave up", func(s *simulation, job func(int) *job) {
			q := &request{id: "x", client: &clientRequest{}, giveUpAt: s.now - 1, onAnswer: func(answer) {}}
			s.front[0].end(q, answer{})
		}},
	} {
		s := newSimulation(d, Options{})
		c.violate(s, func(class int) *job {
			return &job{attempt: &attempt{request: &request{client: &clientRequest{class: class}, executionID: "it"}}}
		})
		if got := strings.Join(s.audit.violations, "; "); !strings.Contains(got, c.want) {
			t.Errorf("got violations %q, want %q", got, c.want)
		}
	}
}

// The recovery time of a day that does not recover must be the rest of the day.
func TestRecoveryIsMeasuredAgainstFaultFreeDay(t *testing.T) {
	d := &Day{Length: seconds(20)}
	day := func(service func(slot int) float64) *Result {
		r := &Result{Day: d}
		for i := range 41 {
			r.requestedBySlot = append(r.requestedBySlot, 1)
			r.servedBySlot = append(r.servedBySlot, service(i))
		}
		return r
	}
	faultFree := day(func(int) float64 { return 0.8 })
	fault := Fault{At: seconds(4), Duration: seconds(2)}
	for _, c := range []struct {
		recovered int // slot
		want      float64
	}{{0, 0}, {12, 0}, {16, 2}, {99, 12.5}} {
		r := day(func(i int) float64 {
			if i < c.recovered {
				return 0.1
			}
			return 0.8
		})
		if got, ok := r.Recovery(faultFree, fault); !ok || got != c.want {
			t.Errorf("recovered at slot %d: got %.1f s, %v; want %.1f s", c.recovered, got, ok, c.want)
		}
	}
	if _, ok := faultFree.Recovery(faultFree, Fault{At: seconds(19), Duration: seconds(5)}); ok {
		t.Error("Recovery returned true for a fault that ends after the day")
	}
}

// An error must be one line with the position or the field, the value and the allowed values.
func TestReadReportsErrors(t *testing.T) {
	base := string(readFile(t, "base.toml").Data)
	for _, c := range []struct{ old, replacement, want string }{
		{`load = 0.8`, `load = 80`, `day.toml: load: found 80, 0.001 to 5, or a rate, expected`},
		{`load = 0.8`, `lod = 0.8`, `day.toml:5:1: unknown field ["lod"]`},
		{`length = "36s"`, `length = "36"`, `day.toml:3:10: toml: found "36", a time such as "1.5s" expected`},
		{`length = "36s"`, `length = "36h"`, `day.toml: length: found 36h0m0s, 1s to 10m expected`},
		{`count = 3,`, `count = 0,`, `day.toml: tiers[0].kinds[0].count: found 0, 1 to 500 expected`},
		{
			`repeat = "keyed"`, `repeat = "often"`,
			`day.toml: classes[1].repeat: found often, safe, keyed or unsafe expected`,
		},
		{`window = "7.5s"`, ``, `day.toml: classes[1].window: found 0s, more than 0s to 1h expected`},
		{`cv = 1.0`, `cv = nan`, `day.toml: classes[0].cv: found NaN, 0 to 5 expected`},
		{
			`[clients]`, "[[trouble]]\nkind = \"fog\"\n[clients]",
			`day.toml: trouble[0].kind: found "fog", one of [slow hang`,
		},
		{
			`[clients]`, "[[trouble]]\nkind = \"burst\"\ntenant = \"x\"\n[clients]",
			`day.toml: trouble[0].tenant: found x, the name of a tenant expected`,
		},
		{
			`length = "36s"`, "length = \"10m\"\nrate = 90000.0",
			`day.toml: rate: found 54000000 requests a day, at most 1000000 expected`,
		},
		{`name = "base"`, strings.Repeat("#", MaxFileBytes), `day.toml: `},
	} {
		_, err := Read(File{Name: "day.toml", Data: []byte(strings.Replace(base, c.old, c.replacement, 1))})
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line starting with %q", c.replacement, err, c.want)
		}
	}
}

// Any input must give an error of one line or a day that can be simulated.
func FuzzRead(f *testing.F) {
	f.Add(readFile(f, "base.toml").Data)
	f.Add(readFile(f, "hard/reload.toml").Data)
	f.Add([]byte("length = \"5s\"\nrate = 1.0\n" +
		"[[classes]]\nshare = 1.0\nwork = \"1ms\"\naim = \"1s\"\ndeadline = \"1s\"\n" +
		"[[tiers]]\nwork = 1.0\nkinds = [{count = 1}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Read(File{"day.toml", data})
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("got an error of more than one line: %q", err)
			}
			return
		}
		backends := 0
		for i := range d.Tiers {
			backends += d.backendCount(i)
		}
		calls := d.RequestRate() * d.Length.Seconds() * d.maxBurstFactor() * d.callsPerRequest()
		if calls > 500 || float64(backends)*d.Length.Seconds() > 1000 {
			return // takes too long to simulate
		}
		if r := Run(d, Options{Trace: true}); len(r.Violations) > 0 && d.Network.Latency.micros() < 1000 {
			t.Logf("violations: %v", r.Violations)
		}
	})
}

// BenchmarkDay simulates one day of the small fleet with its hardest faults.
func BenchmarkDay(b *testing.B) {
	d, err := Read(readFile(b, "small.toml"), readFile(b, "hard/reload.toml"))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		d.Seed++
		Run(d, Options{})
	}
}
