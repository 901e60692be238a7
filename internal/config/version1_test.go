package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"fernlanding/internal/config"
)

// TestVersion1StaysReadable checks that files of version 1 can be decoded, and that the migrated
// files are equivalent to them. The files and the results of their migration are frozen.
func TestVersion1StaysReadable(t *testing.T) {
	names, err := filepath.Glob("testdata/v1/*.toml")
	if err != nil || len(names) < 5 {
		t.Fatalf("got %d files, %v, want at least 5", len(names), err)
	}
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) { testVersion1(t, name) })
	}
}

// testVersion1 checks one file of version 1.
func testVersion1(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	before, err := config.Decode(name, data)
	if err != nil {
		t.Fatal(err)
	}
	migrated, steps, err := config.Migrate(name, data)
	compareWithFrozen(t, strings.TrimSuffix(name, ".toml")+".migrated", migrated, steps, err)
	if err != nil {
		return
	}
	after, err := config.Decode(name, migrated)
	if err != nil {
		t.Fatal(err)
	}
	after.Version, after.Name = before.Version, before.Name
	if a, b := format(after), format(before); a != b {
		t.Errorf("after migration: got\n%s\nwant\n%s", a, b)
	}
	again, steps, err := config.Migrate(name, migrated)
	if err != nil || len(steps) > 0 || string(again) != string(migrated) {
		t.Errorf("second migration: got steps %v, error %v", steps, err)
	}
}

// compareWithFrozen compares the result of a migration with a frozen file. The result is the
// migrated file and the steps, or the error.
func compareWithFrozen(t *testing.T, frozen string, migrated []byte, steps []config.MigrationStep, err error) {
	t.Helper()
	got := string(migrated)
	for _, step := range steps {
		got += fmt.Sprintf("# %s\n", step)
	}
	if err != nil {
		got = err.Error()
	}
	want := readText(t, frozen)
	if *update {
		if err := os.WriteFile(frozen, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if strings.TrimSpace(got) != want {
		t.Errorf("%s: got\n%s\nwant\n%s", frozen, got, want)
	}
}

// format returns all values of an App as text.
func format(app *config.App) string {
	a := *app
	a.Services, a.Routes = nil, slices.Clone(app.Routes)
	text := ""
	for i, r := range a.Routes {
		if r.Mirror != nil {
			text += fmt.Sprintf("%+v", *r.Mirror)
			a.Routes[i].Mirror = nil
		}
	}
	text += fmt.Sprintf("%+v", a)
	for _, s := range app.Services {
		text += fmt.Sprintf("\n%+v", *s)
	}
	return text
}
