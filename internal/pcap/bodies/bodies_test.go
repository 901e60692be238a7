package bodies

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
)

// A stored body is read as it was written, a full store rejects a write, and Close removes the
// directory.
func TestStoredBodies(t *testing.T) {
	dir, err := New(t.TempDir(), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	body, err := dir.New()
	if err != nil {
		t.Fatal(err)
	}
	var want []byte
	for i := range 10 {
		part := bytes.Repeat([]byte{byte(i)}, 60_000)
		want = append(want, part...)
		if _, err := body.Write(part); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		reader, err := body.Open()
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(reader)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("got %d bytes, want the %d written ones; error %v", len(got), len(want), err)
		}
		if err := reader.Close(); err != nil {
			t.Error(err)
		}
	}
	if _, err := body.Write(make([]byte, 1<<20)); !errors.Is(err, ErrFull) {
		t.Errorf("write to a full store: got error %v, want ErrFull", err)
	}
	if err := body.Remove(); err != nil {
		t.Error(err)
	}
	if dir.StoredBytes() != 0 {
		t.Errorf("got %d stored bytes after the last body was removed, want 0", dir.StoredBytes())
	}
	if err := dir.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(dir.path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("stat of the directory after Close: got error %v, want not exist", err)
	}
	if _, err := dir.New(); err == nil {
		t.Error("a closed store accepted a body")
	}
}
