package record

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var zero = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func begin(t *testing.T, dir string, at time.Time) int {
	t.Helper()
	n, err := Open(dir).RecordStart(at)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestStartsAreCountedUntilALifeLasts(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made", "here")
	for i := range 50 {
		if n := begin(t, dir, zero.Add(time.Duration(i)*time.Second)); n != min(i, maxStarts) {
			t.Fatalf("start %d: %d lately", i, n)
		}
	}
	if n := begin(t, dir, zero.Add(-time.Hour)); n != 0 {
		t.Errorf("%d starts in the future count", n)
	}
	begin(t, dir, zero)
	if n := begin(t, dir, zero.Add(Window)); n != 0 {
		t.Errorf("%d starts of long ago count", n)
	}
	begin(t, dir, zero.Add(Window+time.Second))
	if err := Open(dir).Clear(); err != nil {
		t.Fatal(err)
	}
	if n := begin(t, dir, zero.Add(Window+2*time.Second)); n != 0 {
		t.Errorf("%d starts count after a life that lasted", n)
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) != 1 {
		t.Errorf("left in the folder: %v, %v", left, err)
	}
}

// What can't be read is said in one line, counts as nothing, and is replaced.
func TestASpoiltRecordIsNone(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "a record in JSON expected"},
		{`{"version":1,"starts":[1,`, "a record in JSON expected"},
		{`{"version":2,"starts":[]}`, "version 2 found, 1 expected"},
		{`{"version":1,"starts":["x"]}`, "a record in JSON expected"},
		{fmt.Sprintf(`{"version":1,"starts":[%s1]}`, strings.Repeat("1,", maxStarts)), "33 starts found, 32 at most expected"},
		{strings.Repeat(" ", maxFile+1), "more than 4096 bytes found"},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, file), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		n, err := Open(dir).RecordStart(zero)
		if n != 0 || err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q: %d, %v", c.text, n, err)
		}
		if n := begin(t, dir, zero.Add(time.Second)); n != 1 {
			t.Errorf("%.40q: %d after it was replaced", c.text, n)
		}
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "file"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if n, err := Open(filepath.Join(dir, "file")).RecordStart(zero); n != 0 || err == nil {
		t.Errorf("a file for a folder: %d, %v", n, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":1,"starts":[1,2,3]}`))
	f.Add([]byte(`{"version":1,"starts":[99999999999999999999]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if all, err := parse(data); err == nil && len(all) > maxStarts {
			t.Errorf("%d starts", len(all))
		}
	})
}
