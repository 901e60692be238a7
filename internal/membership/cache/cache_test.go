package cache

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/membership"
)

var zero = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func testList() *membership.List {
	return &membership.List{Version: 7, Full: true, Endpoints: []membership.Endpoint{
		{Name: "a", Address: "127.0.0.1:1", Zone: "z", Cell: 2, Weight: 1.5, StartedMs: 5},
		{Name: "b", Address: "[::1]:2", Status: membership.Draining},
	}}
}

// save writes a list to a store.
func save(t *testing.T, store *Store, list *membership.List, confirmed time.Time) {
	t.Helper()
	staged, err := store.Stage(list, confirmed)
	if err != nil {
		t.Fatal(err)
	}
	if err := staged.Commit(); err != nil {
		t.Fatal(err)
	}
}

// expectNoFile fails the test if a store has a file.
func expectNoFile(t *testing.T, what string, store *Store) {
	t.Helper()
	if list, _, err := store.Load(zero, time.Hour); list != nil || err != nil {
		t.Errorf("%s: got list %v, error %v", what, list, err)
	}
}

// A stored list is loaded unchanged while it is younger than the limit, its source is the same, and
// the clock has not stepped back.
func TestLoadReturnsStoredList(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made")
	store := NewStore(dir, "rating", "here")
	expectNoFile(t, "before the first list", store)
	save(t, store, testList(), zero)
	list, age, err := NewStore(dir, "rating", "here").Load(zero.Add(time.Minute), time.Hour)
	if err != nil || age != time.Minute || !reflect.DeepEqual(list, testList()) {
		t.Errorf("got list %+v, age %v, error %v", list, age, err)
	}
	for _, test := range []struct {
		source string
		now    time.Time
		want   string
	}{
		{"here", zero.Add(time.Hour), "confirmed 1h0m0s ago, want less than 1h0m0s"},
		{"here", zero.Add(-time.Second), "confirmed 1s from now, want a time in the past"},
		{"there", zero, `list of source "here", want source "there"`},
	} {
		list, _, err := NewStore(dir, "rating", test.source).Load(test.now, time.Hour)
		if list != nil || err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("source %s at %v: got list %v, error %v", test.source, test.now, list, err)
		}
	}
	if err := store.Remove(); err != nil {
		t.Fatal(err)
	}
	expectNoFile(t, "removed", store)
	if err := store.Remove(); err != nil {
		t.Errorf("second Remove: %v", err)
	}
}

// An invalid file is not loaded, and the error has one line.
func TestInvalidFileIsNotLoaded(t *testing.T) {
	encodeList := func(list *membership.List) string {
		data, err := encode(list, "here", zero)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	valid := encodeList(testList())
	with := func(before, after string) string {
		text := strings.Replace(valid, before, after, 1)
		if text == valid {
			t.Fatalf("the encoded list does not contain %s", before)
		}
		return text
	}
	of := func(endpoints ...membership.Endpoint) string {
		return encodeList(&membership.List{Endpoints: endpoints})
	}
	for _, test := range []struct{ text, want string }{
		{"", "malformed file"},
		{valid[:len(valid)/2], "malformed file"},
		{with(`"version":1`, `"version":2`), "unsupported version 2, want 1"},
		{with(`127.0.0.1:1`, `127.0.0.1:9`), "checksum mismatch: "},
		{of(), "invalid list of 0 endpoints, version 0: "},
		{of(membership.Endpoint{Address: "a:1"}), "list.endpoints[0]: name of 0 bytes, want 1 to 256"},
		{of(membership.Endpoint{Name: "a", Address: "a"}), `invalid address "a": want host:port`},
		{
			of(membership.Endpoint{Name: "a", Address: "a:1", Weight: -1}),
			"invalid weight -1: want a finite weight >= 0",
		},
		{
			of(membership.Endpoint{Name: "a", Address: "a:1", Zone: strings.Repeat("z", 257)}),
			"zone of 257 bytes exceeds the limit",
		},
		{
			of(membership.Endpoint{Name: "a", Address: "a:1"}, membership.Endpoint{Name: "a", Address: "a:2"}),
			`duplicate name "a"`,
		},
		{strings.Repeat(" ", maxFileBytes+1), "file exceeds the limit of 8388608 bytes"},
	} {
		store := NewStore(t.TempDir(), "x", "here")
		if err := os.WriteFile(store.path, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		list, _, err := store.Load(zero, time.Hour)
		if list != nil || err == nil {
			t.Errorf("%.80q: got list %v, error %v", test.text, list, err)
		} else if text := err.Error(); !strings.Contains(text, test.want) || strings.Contains(text, "\n") {
			t.Errorf("%.80q: got error %v", test.text, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	valid, err := encode(testList(), "here", zero)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`{"version":1,"source":"here","sum":0,"list":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, confirmed, err := parse(data, "here")
		if err != nil {
			return
		}
		encoded, err := encode(list, "here", confirmed)
		if err != nil {
			t.Fatal(err)
		}
		if parsed, _, err := parse(encoded, "here"); err != nil || !reflect.DeepEqual(list, parsed) {
			t.Errorf("list %+v decodes to %+v, error %v", list, parsed, err)
		}
	})
}
