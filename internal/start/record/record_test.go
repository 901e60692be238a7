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

func recordStart(t *testing.T, dir string, at time.Time) int {
	t.Helper()
	recentStarts, err := Open(dir).RecordStart(at)
	if err != nil {
		t.Fatal(err)
	}
	return recentStarts
}

// Starts within the window count until the record is cleared.
func TestRecentStartsAreCountedUntilCleared(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made", "here")
	for i := range 50 {
		if n := recordStart(t, dir, zero.Add(time.Duration(i)*time.Second)); n != min(i, maxStarts) {
			t.Fatalf("start %d: got %d recent starts", i, n)
		}
	}
	if n := recordStart(t, dir, zero.Add(-time.Hour)); n != 0 {
		t.Errorf("%d starts in the future are counted", n)
	}
	recordStart(t, dir, zero)
	if n := recordStart(t, dir, zero.Add(window)); n != 0 {
		t.Errorf("%d starts before the window are counted", n)
	}
	recordStart(t, dir, zero.Add(window+time.Second))
	if err := Open(dir).Clear(); err != nil {
		t.Fatal(err)
	}
	if n := recordStart(t, dir, zero.Add(window+2*time.Second)); n != 0 {
		t.Errorf("%d starts are counted after Clear", n)
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 {
		t.Errorf("files in the directory: %v, %v", files, err)
	}
}

// A file that can't be read is reported in one line, counts as empty, and is replaced.
func TestInvalidRecordCountsAsEmpty(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"", "malformed file"},
		{`{"version":1,"starts":[1,`, "malformed file"},
		{`{"version":2,"starts":[]}`, "unsupported version 2, want 1"},
		{`{"version":1,"starts":["x"]}`, "malformed file"},
		{
			fmt.Sprintf(`{"version":1,"starts":[%s1]}`, strings.Repeat("1,", maxStarts)),
			"33 starts exceed the limit of 32",
		},
		{strings.Repeat(" ", maxFileBytes+1), "file exceeds the limit of 4096 bytes"},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, fileName), []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		n, err := Open(dir).RecordStart(zero)
		if n != 0 || err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q: got %d recent starts, error %v", test.text, n, err)
		}
		if n := recordStart(t, dir, zero.Add(time.Second)); n != 1 {
			t.Errorf("%.40q: got %d recent starts after the file was replaced", test.text, n)
		}
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "file"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if n, err := Open(filepath.Join(dir, "file")).RecordStart(zero); n != 0 || err == nil {
		t.Errorf("file in place of the directory: got %d recent starts, error %v", n, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":1,"starts":[1,2,3]}`))
	f.Add([]byte(`{"version":1,"starts":[99999999999999999999]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if starts, err := parse(data); err == nil && len(starts) > maxStarts {
			t.Errorf("parse returned %d starts", len(starts))
		}
	})
}
