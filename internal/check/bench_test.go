package check_test

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/check"
)

// largeCatalogue returns a catalogue with a number of applications and 0.3 times as many services in
// three tiers. Each application calls five services of the next tier. Each service has three
// classes, and two pods of two backends.
func largeCatalogue(applications int) []catalogue.File {
	services := max(6, applications*3/10)
	tier := services / 3
	var s, a strings.Builder
	s.WriteString("catalogue = 1\n")
	a.WriteString("catalogue = 1\n")
	for i := range 3 * tier {
		deadline := 9 - 2*(i/tier) // in seconds, shorter for inner tiers
		fmt.Fprintf(&s, `
[services.s%d]
team = "team-%d"
trusted = true
zones = ["a", "b"]
retry_budget = { share = 0.05 }
tenants = { acme = { portion = 0.5, quota = 100 }, beta = { portion = 0.5, quota = 70 } }
[services.s%d.pods.east]
cell = 1
zone = "a"
endpoints = [{ name = "e1", address = "10.%d.%d.1:80" }, { name = "e2", address = "10.%d.%d.2:80" }]
[services.s%d.pods.west]
cell = 2
zone = "b"
endpoints = [{ name = "w1", address = "10.%d.%d.3:80" }, { name = "w2", address = "10.%d.%d.4:80" }]
[services.s%d.classes.look]
repeat = "safe"
objective = "300ms"
deadline = "%ds"
routes = [{ prefix = "/s%d/look", methods = ["GET"] }]
[services.s%d.classes.rate]
repeat = "keyed"
dedup_scope = "cell"
dedup_window = "20s"
key = "Idempotency-Key"
deadline = "%ds"
routes = [{ exact = "/s%d/rate", methods = ["POST"] }]
[services.s%d.classes.post]
repeat = "unsafe"
deadline = "%ds"
routes = [{ template = "/s%d/{id}/post", methods = ["POST"] }]
`, i, i%40, i, i/250, i%250, i/250, i%250, i, i/250, i%250, i/250, i%250, i, deadline, i, i, deadline,
			i, i, deadline, i)
	}
	for i := range applications {
		position := i % 4 // 0 and 1 are outermost applications
		fmt.Fprintf(&a, `
[applications.a%d]
team = "team-%d"
host = "host-%d"
zone = "a"
listeners = [{ address = "127.0.0.1:%d" }]
process = { cores = 1, memory_mb = 128, sockets = 1024 }
`, i, i%40, i/8, 8000+i%8)
		next := 0
		if position > 1 {
			next = position - 1
			fmt.Fprintf(&a, "serves = [\"s%d\"]\n", (next-1)*tier+i/4%tier)
		}
		for k := range 5 {
			s := next*tier + (i*7+k*11)%tier
			cause := func(class string) string {
				if position < 2 {
					return ""
				}
				return fmt.Sprintf("for = [\"s%d/%s\"]\n", (next-1)*tier+i/4%tier, class)
			}
			fmt.Fprintf(&a, "[applications.a%d.calls.s%d]\nshare = %.6f\n", i, s, 1/float64(applications))
			for _, class := range []string{"look", "rate", "post"} {
				fmt.Fprintf(&a, "[applications.a%d.calls.s%d.classes.%s]\n%s", i, s, class, cause(class))
			}
		}
	}
	return []catalogue.File{
		{Name: "applications.toml", Data: []byte(a.String())},
		{Name: "services.toml", Data: []byte(s.String())},
	}
}

// inParallel calls f with each number from 0 to n-1 on all cores, as fernctl does.
func inParallel(n int, f func(int)) {
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				f(i)
			}
		})
	}
	workers.Wait()
}

// BenchmarkCatalogue reads a catalogue, generates its files and checks them. Run it with -cpu 2. MB
// is the largest HeapInuse after an iteration.
func BenchmarkCatalogue(b *testing.B) {
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("applications=%d", n), func(b *testing.B) {
			files := largeCatalogue(n)
			var largestHeap uint64
			for b.Loop() {
				c, diagnostics := catalogue.Read(files)
				if len(diagnostics) > 0 {
					b.Fatal(diagnostics[0])
				}
				plan, docs, diagnostics := check.Catalogue(c, "", check.Options{ForEach: inParallel})
				if len(diagnostics) > 0 || len(plan.Outputs) != n {
					b.Fatalf("got %d files, want %d; %d diagnostics, first %v", len(plan.Outputs), n, len(diagnostics),
						diagnostics[:min(1, len(diagnostics))])
				}
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				largestHeap = max(largestHeap, stats.HeapInuse)
				runtime.KeepAlive(docs)
			}
			b.ReportMetric(float64(largestHeap)/(1<<20), "MB")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/application")
		})
	}
}

// The catalogue of the benchmark is accepted without a diagnostic.
func TestLargeCatalogueIsAccepted(t *testing.T) {
	c, diagnostics := catalogue.Read(largeCatalogue(120))
	if len(diagnostics) > 0 {
		t.Fatal(diagnostics)
	}
	plan, _, diagnostics := check.Catalogue(c, "", check.Options{ForEach: inParallel})
	if len(diagnostics) > 0 || len(plan.Outputs) != 120 {
		t.Fatalf("got %d files, want 120; diagnostics\n%.2000v", len(plan.Outputs), diagnostics)
	}
}
