package check_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/check"
	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
)

var (
	mutantCount = flag.Int("mutants", 400, "number of mutated catalogues to check")
	servedCount = flag.Int("runs", 48, "number of accepted catalogues to serve requests with")
	firstSeed   = flag.Uint64("first", 0, "first seed; seed 0 is the unchanged catalogue")
)

const (
	backendsPerService = 4 // two pods of two backends
	requestsPerRoute   = 5
	shards             = 16
)

// mutantStats counts the results of all mutants.
type mutantStats struct {
	mu       sync.Mutex
	accepted int
	served   int
	requests int
	rejected map[string]int // diagnostics, keyed by rule
}

// A valid catalogue is mutated at random. A sidecar must load the files of every mutant that the
// check accepts. When it serves requests with them, and backends close connections after they have
// received a complete request, no effect may occur twice. The test determines effects and dedup
// groups from the mutated catalogue with a decoder of its own, so that a fault in the decoder of the
// product cannot hide a violation.
func TestAcceptedCataloguesAreSafe(t *testing.T) {
	stats := mutantStats{rejected: map[string]int{}}
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				backends := newEffectBackends(t)
				remaining := (*servedCount + shards - 1) / shards
				end := *firstSeed + uint64(*mutantCount)
				for seed := *firstSeed + uint64(shard); seed < end; seed += shards {
					testMutant(t, backends, seed, &remaining, &stats)
				}
			})
		}
	})
	t.Logf("%d mutants, %d accepted, %d of them served with %d requests; diagnostics by rule: %v",
		*mutantCount, stats.accepted, stats.served, stats.requests, stats.rejected)
	if stats.accepted < *mutantCount/20 || stats.served == 0 ||
		len(stats.rejected) < 10 && *mutantCount >= 400 {
		t.Errorf("%d of %d mutants accepted, %d served, rejected by %d rules: coverage is too low",
			stats.accepted, *mutantCount, stats.served, len(stats.rejected))
	}
}

// testMutant checks one mutant. Seed 0 is the unchanged catalogue. remaining is the number of
// accepted mutants that may still be served with.
func testMutant(t *testing.T, backends *effectBackends, seed uint64, remaining *int, stats *mutantStats) {
	t.Helper()
	root, text := mutantOf(t, backends.catalogueText(), seed)
	cat, diagnostics := catalogue.Read([]catalogue.File{{Name: "c.toml", Data: text}})
	if cat == nil || len(diagnostics.Errors()) > 0 {
		return
	}
	plan, docs, diagnostics := check.Catalogue(cat, "", check.Options{})
	stats.mu.Lock()
	for _, d := range diagnostics.Errors() {
		stats.rejected[string(d.Rule)]++
	}
	stats.mu.Unlock()
	if seed == 0 && len(diagnostics) > 0 {
		t.Fatalf("unchanged catalogue: got diagnostics %v", diagnostics)
	}
	if plan == nil || len(diagnostics.Errors()) > 0 || len(docs) == 0 {
		return
	}
	var repeated []string
	requests, served := 0, 0
	if *remaining > 0 {
		*remaining--
		served = 1
		repeated, requests = serveMutant(t, backends, seed, root, docs)
	} else {
		loadSidecars(t, seed, docs)
	}
	if len(repeated) > 0 {
		t.Errorf("mutant %d: accepted, but effects occurred more than once: %v\n%s", seed, repeated, text)
	}
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.accepted++
	stats.served += served
	stats.requests += requests
}

// mutantOf returns the mutant of a seed as a table and as text.
func mutantOf(t *testing.T, seedText string, seed uint64) (table, []byte) {
	t.Helper()
	var root table
	if err := toml.Unmarshal([]byte(seedText), &root); err != nil {
		t.Fatal(err)
	}
	if seed > 0 {
		mutate(rand.New(rand.NewPCG(seed, 1)), root)
	}
	text, err := toml.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	return root, text
}

// serveMutant serves requests with the generated files. It returns the effects that occurred more
// than once and the number of requests.
func serveMutant(
	t *testing.T, backends *effectBackends, seed uint64, root table, docs []*config.Document,
) (repeated []string, requests int) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var sidecars sync.WaitGroup
	defer sidecars.Wait()
	defer stop()
	calls := &callPaths{sidecars: map[string]string{}, caused: map[string][]classRequest{}}
	for _, doc := range docs {
		s, err := newSidecar(doc)
		if err != nil {
			t.Fatalf("mutant %d: accepted, but not loaded: %s: %v", seed, doc.File, err)
		}
		sidecars.Go(func() { _ = s.Run(ctx) }) // the error is that of the cancelled context
		calls.add(root, doc.App, s.Addr())
	}
	backends.reset(seed, root, calls)
	requests = sendAll(backends, seed, calls.entries)
	return backends.repeatedEffects(), requests
}

// sendAll sends the requests of all entries concurrently. When all have ended, it returns their
// number.
func sendAll(backends *effectBackends, seed uint64, entries []entry) int {
	sent := 0
	var clients sync.WaitGroup
	for n, e := range entries {
		for i, r := range e.requests {
			for k := range requestsPerRoute {
				sent++
				clients.Go(func() { backends.send(e.addr, r, fmt.Sprintf("%d-%d-%d-%d", seed, n, i, k)) })
			}
		}
	}
	clients.Wait()
	return sent
}

// newSidecar returns a sidecar for a file, with listeners on free ports.
func newSidecar(doc *config.Document) (*sidecar.Sidecar, error) {
	for i := range doc.App.Listeners {
		doc.App.Listeners[i].Address = "127.0.0.1:0"
	}
	return sidecar.New(doc.App, slog.New(slog.DiscardHandler))
}

// loadSidecars loads each file into a sidecar, which does not run.
func loadSidecars(t *testing.T, seed uint64, docs []*config.Document) {
	t.Helper()
	for _, doc := range docs {
		s, err := newSidecar(doc)
		if err != nil {
			t.Errorf("mutant %d: accepted, but not loaded: %s: %v", seed, doc.File, err)
			continue
		}
		s.Close()
	}
}
