package config

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"fernlanding/internal/tomldoc"
)

// FuzzMigrate checks that a migrated file has the newest version and needs no further migration,
// and that a file that can't be migrated has diagnostics.
func FuzzMigrate(f *testing.F) {
	names, err := filepath.Glob("testdata/v1/*.toml")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		before := Read("f", data)
		migrated, steps, err := Migrate("f", data)
		if err != nil {
			var faults tomldoc.Diagnostics
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("got error %T %v, want diagnostics", err, err)
			}
			return
		}
		if before.App == nil {
			t.Fatal("migrated a file that was rejected before")
		}
		after := Read("f", migrated)
		if after.App == nil || after.Version != FormatVersion {
			t.Fatalf("migrated file is rejected or not of the newest version: %v\n%s", after.Diagnostics, migrated)
		}
		if before.Version == 1 && len(steps) == 0 {
			t.Fatal("migrated without steps")
		}
		compareMigrated(t, before.App, after.App)
		again, steps, err := Migrate("f", migrated)
		if err != nil || len(steps) > 0 || string(again) != string(migrated) {
			t.Fatalf("second migration: got steps %v, error %v", steps, err)
		}
	})
}

// compareMigrated checks that a migrated App has the same number of services and routes, and the
// same policies of classes.
func compareMigrated(t *testing.T, before, after *App) {
	t.Helper()
	if len(after.Routes) != len(before.Routes) || len(after.Services) != len(before.Services) {
		t.Fatal("migration changed the number of routes or services")
	}
	for i, s := range before.Services {
		for n, want := range s.ClassPolicies {
			got := after.Services[i].ClassPolicies[n]
			if got.Idempotency != want.Idempotency || got.DedupWindow != want.DedupWindow ||
				got.DedupScope != want.DedupScope || got.Key != want.Key || got.RetryScope != want.RetryScope {
				t.Fatalf("%s.%s: got %+v, want %+v", s.Name, s.Classes[n], got, want)
			}
		}
	}
}
