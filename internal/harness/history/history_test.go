package history_test

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"fernlanding/internal/harness/history"
)

// Read returns what a Writer has written, sorted by time, and says which line is wrong.
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
		t.Errorf("%+v, %v", got, err)
	}
	for _, c := range []struct{ text, want string }{
		{"{\"at\":1,\"kind\":\"gone\"}\nx\n", "history: line 2: an event expected"},
		{`{"at":-1,"kind":"gone"}`, "history: line 1: an event with kind and at expected"},
		{`{"at":1}`, "history: line 1: an event with kind and at expected"},
		{strings.Repeat("x", 2<<20), "history: line 1: at most 1048576 bytes expected"},
	} {
		_, err := history.Read(strings.NewReader(c.text))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%.30s: %v", c.text, err)
		}
	}
}

// FuzzRead checks that whatever Read accepts comes out sorted by time.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"at":1,"kind":"asked","names":["a"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		all, err := history.Read(bytes.NewReader(data))
		for i := 1; err == nil && i < len(all); i++ {
			if all[i].At < all[i-1].At {
				t.Fatal("out of order")
			}
		}
	})
}
