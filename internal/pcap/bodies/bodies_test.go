package bodies

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
)

// A body is read as it was written, a full store rejects a write, and Close leaves nothing behind.
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
			t.Errorf("read %d bytes of %d: %v", len(got), len(want), err)
		}
		if err := reader.Close(); err != nil {
			t.Error(err)
		}
	}
	if _, err := body.Write(make([]byte, 1<<20)); !errors.Is(err, ErrFull) {
		t.Errorf("a full store: %v", err)
	}
	if err := body.Remove(); err != nil {
		t.Error(err)
	}
	if dir.StoredBytes() != 0 {
		t.Errorf("%d bytes stored after the last body was removed", dir.StoredBytes())
	}
	if err := dir.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(dir.path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the directory is left: %v", err)
	}
	if _, err := dir.New(); err == nil {
		t.Error("a closed store takes bodies")
	}
}
