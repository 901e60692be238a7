package bodies

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
)

// Bodies come back as they went in, a full store says so, and nothing is left behind.
func TestBodiesInFiles(t *testing.T) {
	d, err := New(t.TempDir(), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	r, err := d.New()
	if err != nil {
		t.Fatal(err)
	}
	var want []byte
	for i := range 10 {
		part := bytes.Repeat([]byte{byte(i)}, 60_000)
		want = append(want, part...)
		if _, err := r.Write(part); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		in, err := r.Open()
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(in)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%d bytes came back of %d: %v", len(got), len(want), err)
		}
		if err := in.Close(); err != nil {
			t.Error(err)
		}
	}
	if _, err := r.Write(make([]byte, 1<<20)); !errors.Is(err, ErrFull) {
		t.Errorf("a full store: %v", err)
	}
	if err := r.Remove(); err != nil {
		t.Error(err)
	}
	if d.StoredBytes() != 0 {
		t.Errorf("%d bytes held after the last drop", d.StoredBytes())
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(d.path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the directory is left: %v", err)
	}
	if _, err := d.New(); err == nil {
		t.Error("a closed store takes bodies")
	}
}
