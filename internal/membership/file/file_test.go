package file

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/contract"
)

// registry implements contract.Registry with a file.
type registry struct {
	t    *testing.T
	path string

	mu        sync.Mutex
	endpoints map[string]membership.Endpoint // by name
	fault     fault
}

// fault is the fault of the file.
type fault int

const (
	noFault fault = iota
	missing
	truncated
	otherContents
	empty // as left by a process that died while it wrote the file in place
)

// contents returns the contents of a file with the endpoints.
func (r *registry) contents() []byte {
	list := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(r.endpoints)) {
		e := r.endpoints[name]
		list = append(list, map[string]any{
			"name": e.Name, "address": e.Address, "zone": e.Zone, "cell": e.Cell,
			"weight": e.Weight, "since": e.StartedMs,
			"status": []string{"serving", "draining"}[e.Status],
		})
	}
	data, err := json.Marshal(map[string]any{"endpoints": list})
	if err != nil {
		r.t.Error(err)
	}
	return data
}

// write replaces the file, or writes it with the fault.
func (r *registry) write() {
	data := r.contents()
	switch r.fault {
	case noFault:
	case missing:
		_ = os.Remove(r.path) // it may be missing already
		return
	case truncated:
		data = data[:len(data)/2]
	case otherContents:
		data = []byte(`{"endpoint":[]}`)
	case empty:
		if err := os.WriteFile(r.path, nil, 0o644); err != nil {
			r.t.Error(err)
		}
		return
	}
	if err := os.WriteFile(r.path+".new", data, 0o644); err != nil {
		r.t.Error(err)
	}
	if err := os.Rename(r.path+".new", r.path); err != nil {
		r.t.Error(err)
	}
}

func (r *registry) Put(endpoints ...membership.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range endpoints {
		r.endpoints[e.Name] = e
	}
	r.write()
}

func (r *registry) Delete(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		delete(r.endpoints, name)
	}
	r.write()
}

func (r *registry) InjectFault(n int) (string, bool) {
	faults := []string{"no file", "a truncated file", "another file", "an empty file"}
	if n >= len(faults) {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = missing + fault(n)
	r.write()
	return faults[n], true
}

func (r *registry) ClearFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = noFault
	r.write()
}

func TestContract(t *testing.T) {
	contract.Test(t, func(t *testing.T) (membership.Source, contract.Registry) {
		t.Helper()
		path := filepath.Join(t.TempDir(), "list.json")
		r := &registry{t: t, path: path, endpoints: map[string]membership.Endpoint{}}
		r.write()
		return New(r.path, slog.New(slog.DiscardHandler)), r
	})
}

// sink records each list that it receives as one line of names. "~" follows a draining endpoint. A
// failure is the line "failed".
type sink struct{ lists []string }

func (s *sink) UpdateFailed() { s.lists = append(s.lists, "failed") }

func (s *sink) UpdateEndpoints(list *membership.List) {
	var words []string
	for _, e := range list.Endpoints {
		words = append(words, e.Name+[...]string{"", "~", "-"}[e.Status])
	}
	s.lists = append(s.lists, strings.Join(words, " "))
}

// Invalid entries are left out and logged once. An endpoint whose entry becomes invalid is
// draining. A list that is written again without a change is not an update. An edit in place is
// detected even if it keeps the size and happens within the resolution of the file's timestamp.
func TestFileContents(t *testing.T) {
	var log strings.Builder
	path := filepath.Join(t.TempDir(), "list.json")
	source, sink := New(path, slog.New(slog.NewTextHandler(&log, nil))), &sink{}
	write := func(entries ...string) {
		t.Helper()
		contents := fmt.Appendf(nil, `{"endpoints":[%s]}`, strings.Join(entries, ","))
		if err := os.WriteFile(path, contents, 0o644); err != nil {
			t.Fatal(err)
		}
		source.check(sink)
	}
	a, b := `{"name":"a","address":"h:1"}`, `{"address":"h:2"}`
	noPort, number, secondA := `{"name":"c","address":"h"}`, `7`, `{"name":"a","address":"h:9"}`
	write(a, b)
	write(a, b)
	write(a, b, noPort, number, secondA, b)
	write(a, b, noPort, number, secondA, b)
	write(`{"name":"a","address":"x:1"}`, b)
	write(`{"name":"a","address":"x/1"}`, b)
	write(`{"name":"a","address":"x:2"}`)
	want := []string{"a h:2", "a h:2", "a~ h:2", "a"}
	if !slices.Equal(sink.lists, want) && !slices.Equal(sink.lists, append([]string{"a h:2"}, want...)) {
		t.Errorf("got lists %q, want %q", sink.lists, want)
	}
	if n := strings.Count(log.String(), "invalid endpoint entry"); n != 5 {
		t.Errorf("%d invalid entries logged, want 5:\n%s", n, log.String())
	}
	if !strings.Contains(log.String(), "more than half of the serving endpoints were removed") {
		t.Errorf("no log line for the removal of half of the endpoints:\n%s", log.String())
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"endpoints":[{"name":"a","address":"h:1"},7,null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := parse(data)
		if err != nil {
			return
		}
		seen := map[string]bool{}
		for _, e := range entries {
			if seen[e.Key] {
				t.Fatalf("duplicate key %q", e.Key)
			}
			seen[e.Key] = true
		}
	})
}
