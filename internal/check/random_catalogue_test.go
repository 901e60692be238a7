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
	mutantCount = flag.Int("mutants", 400, "changed catalogues to check")
	servedCount = flag.Int("runs", 48, "accepted ones to serve requests with")
	firstSeed   = flag.Uint64("first", 0, "the first seed; 0 is the catalogue itself")
)

const (
	backendsPerService = 4 // in two pods
	requestsPerRoute   = 5
	shards             = 16
)

// mutantStats is what became of the mutants.
type mutantStats struct {
	mu       sync.Mutex
	accepted int
	served   int
	requests int
	rejected map[string]int // by rule
}

// A catalogue that is accepted is changed at random. Whatever the check still accepts, a sidecar
// must load; and served with, before backends that break off after the last byte of a request, no
// effect may happen twice. What an effect is and which pod drops a duplicate is read from the
// changed catalogue by a reader of the test's own, not by the tool's.
func TestAcceptedCataloguesAreSafe(t *testing.T) {
	stats := mutantStats{rejected: map[string]int{}}
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				backends := newEffectBackends(t)
				left := (*servedCount + shards - 1) / shards
				end := *firstSeed + uint64(*mutantCount)
				for seed := *firstSeed + uint64(shard); seed < end; seed += shards {
					testMutant(t, backends, seed, &left, &stats)
				}
			})
		}
	})
	t.Logf("%d mutants, %d accepted, %d of them served with %d requests; rejected by %v",
		*mutantCount, stats.accepted, stats.served, stats.requests, stats.rejected)
	if stats.accepted < *mutantCount/20 || stats.served == 0 ||
		len(stats.rejected) < 10 && *mutantCount >= 400 {
		t.Errorf("%d of %d accepted, %d served, rejected by %d rules: the changes prove little",
			stats.accepted, *mutantCount, stats.served, len(stats.rejected))
	}
}

// testMutant checks one changed catalogue; seed 0 is the catalogue itself. left is how many
// accepted catalogues may still be served with.
func testMutant(t *testing.T, backends *effectBackends, seed uint64, left *int, stats *mutantStats) {
	t.Helper()
	root, text := mutantOf(t, backends.catalogueText(), seed)
	cat, found := catalogue.Read([]catalogue.File{{Name: "c.toml", Data: text}})
	if cat == nil || len(found.Errors()) > 0 {
		return
	}
	plan, docs, found := check.Catalogue(cat, "", check.Options{})
	stats.mu.Lock()
	for _, d := range found.Errors() {
		stats.rejected[string(d.Rule)]++
	}
	stats.mu.Unlock()
	if seed == 0 && len(found) > 0 {
		t.Fatalf("the catalogue itself: %v", found)
	}
	if plan == nil || len(found.Errors()) > 0 || len(docs) == 0 {
		return
	}
	var repeated []string
	requests, served := 0, 0
	if *left > 0 {
		*left--
		served = 1
		repeated, requests = serveMutant(t, backends, seed, root, docs)
	} else {
		loadSidecars(t, seed, docs)
	}
	if len(repeated) > 0 {
		t.Errorf("mutant %d: accepted, and effects happened twice: %v\n%s", seed, repeated, text)
	}
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.accepted++
	stats.served += served
	stats.requests += requests
}

// mutantOf returns a changed catalogue as a table and as text.
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

// serveMutant serves requests with the generated files; it returns the effects that happened more
// than once, and the number of requests.
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
			t.Fatalf("mutant %d: accepted, and not loaded: %s: %v", seed, doc.File, err)
		}
		sidecars.Go(func() { _ = s.Run(ctx) }) // its error is that of the stop
		calls.add(root, doc.App, s.Addr())
	}
	backends.reset(seed, root, calls)
	requests = sendAll(backends, seed, calls.entries)
	return backends.repeatedEffects(), requests
}

// sendAll sends the requests of all entries concurrently, and returns their number when all have
// ended.
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

// newSidecar returns a sidecar of a file, with its listeners at any free ports.
func newSidecar(doc *config.Document) (*sidecar.Sidecar, error) {
	for i := range doc.App.Listeners {
		doc.App.Listeners[i].Address = "127.0.0.1:0"
	}
	return sidecar.New(doc.App, slog.New(slog.DiscardHandler))
}

// loadSidecars has a sidecar load each file, without running it.
func loadSidecars(t *testing.T, seed uint64, docs []*config.Document) {
	t.Helper()
	for _, doc := range docs {
		s, err := newSidecar(doc)
		if err != nil {
			t.Errorf("mutant %d: accepted, and not loaded: %s: %v", seed, doc.File, err)
			continue
		}
		s.Close()
	}
}
