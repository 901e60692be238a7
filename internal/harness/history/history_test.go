package history_test

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"fernlanding/internal/harness/history"
)

// Read returns the events that a Writer has written, sorted by time, and reports the number of an
// invalid line.
func TestReadReturnsWrittenEventsInOrder(t *testing.T) {
	var file bytes.Buffer
	w := history.NewWriter(&file)
	events := []history.Event{
		{At: 30, Kind: history.Requested, ID: "x", Status: 200},
		{At: 10, Kind: history.ListPolled, N: -1, Names: []string{"+a"}},
		{At: 30, Kind: history.Exited},
	}
	for _, e := range events {
		w.Write(e)
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	got, err := history.Read(&file)
	want := []history.Event{events[1], events[0], events[2]}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	for _, c := range []struct{ text, want string }{
		{"{\"at\":1,\"kind\":\"gone\"}\nx\n", "history: line 2: invalid event"},
		{`{"at":-1,"kind":"gone"}`, "history: line 1: event without a kind or with a negative time"},
		{`{"at":1}`, "history: line 1: event without a kind or with a negative time"},
		{strings.Repeat("x", 2<<20), "history: line 1: line exceeds 1048576 bytes"},
	} {
		_, err := history.Read(strings.NewReader(c.text))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%.30s: got %v, want %q", c.text, err, c.want)
		}
	}
}

// FuzzRead checks that every history that Read accepts is returned sorted by time.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"at":1,"kind":"asked","names":["a"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		all, err := history.Read(bytes.NewReader(data))
		for i := 1; err == nil && i < len(all); i++ {
			if all[i].At < all[i-1].At {
				t.Fatal("events are not sorted by time")
			}
		}
	})
}
