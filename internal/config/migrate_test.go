package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What is migrated reads in the newest version and is settled; what is not says why.
func FuzzMigrate(f *testing.F) {
	names, _ := filepath.Glob("testdata/v1/*.toml")
	for _, n := range names {
		data, err := os.ReadFile(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		old := Read("f", data)
		out, steps, err := Migrate("f", data)
		if err != nil {
			var faults Diagnostics
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("%T %v", err, err)
			}
			return
		}
		if old.App == nil {
			t.Fatal("migrated, and refused before")
		}
		fresh := Read("f", out)
		if fresh.App == nil || fresh.Version != Version {
			t.Fatalf("%v\n%s", fresh.Diagnostics, out)
		}
		if old.Version == 1 && len(steps) == 0 {
			t.Fatal("no step")
		}
		if len(fresh.App.Routes) != len(old.App.Routes) || len(fresh.App.Services) != len(old.App.Services) {
			t.Fatal("something is lost")
		}
		for i, s := range old.App.Services {
			for n, r := range s.ClassPolicies {
				if got := fresh.App.Services[i].ClassPolicies[n]; got.Idempotency != r.Idempotency || got.DedupWindow != r.DedupWindow || got.DedupScope != r.DedupScope || got.Key != r.Key || got.Resend != r.Resend {
					t.Fatalf("%s.%s: %+v, before %+v", s.Name, s.Classes[n], got, r)
				}
			}
		}
		if again, steps, err := Migrate("f", out); err != nil || len(steps) > 0 || string(again) != string(out) {
			t.Fatalf("not settled: %v, %v", steps, err)
		}
	})
}

// A program's version has two parts, which are numbers.
func TestNewer(t *testing.T) {
	for _, c := range []struct {
		a, b  string
		newer bool
		bad   bool
	}{{"0.3", "0.3", false, false}, {"0.10", "0.9", true, false}, {"1.0", "0.9", true, false}, {"0.9", "1.0", false, false}, {"1", "0.1", false, true}, {"a.b", "0.1", false, true}, {"1.-1", "0.1", false, true}} {
		if got, err := Newer(c.a, c.b); got != c.newer && !c.bad || (err != nil) != c.bad {
			t.Errorf("%s, %s: got %v, %v", c.a, c.b, got, err)
		}
	}
}

func TestClash(t *testing.T) {
	for _, c := range []struct {
		a, b  string
		clash bool
	}{
		{"127.0.0.1:80", "127.0.0.1:80", true},
		{"127.0.0.1:80", "127.0.0.1:81", false},
		{"127.0.0.1:80", "127.0.0.2:80", false},
		{"0.0.0.0:80", "127.0.0.2:80", true},
		{"[::]:80", "127.0.0.2:80", true},
		{"127.0.0.1:0", "127.0.0.1:0", false},
		{"Localhost:80", "localhost:80", true},
		{"[::1]:80", "[0:0::1]:80", true},
		{"x", "x", false},
	} {
		if got := Clash(c.a, c.b); got != c.clash || Clash(c.b, c.a) != c.clash {
			t.Errorf("%s, %s: got %v", c.a, c.b, got)
		}
	}
}

// The difference of two files is told by the paths of fields; a head alone is no change.
func TestDiffOfHeads(t *testing.T) {
	text := strings.Replace(good, "version = 1", "version = 2\ngenerated = { sources = \"a\" }", 1)
	text = strings.Replace(text, `repeat = "keyed"`, "repeat = \"keyed\"\nkey = \"Idempotency-Key\"", 2)
	a, b := Read("f", []byte(text)), Read("f", []byte(strings.Replace(text, `sources = "a"`, `sources = "b"`, 1)))
	if changes, heads := Diff(a, b); len(changes) > 0 || !heads {
		t.Errorf("got %v, %v", changes, heads)
	}
	if changes, heads := Diff(a, a); len(changes) > 0 || heads {
		t.Errorf("got %v, %v", changes, heads)
	}
}
