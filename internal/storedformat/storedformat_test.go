// Package storedformat tests that the programs still read data that an earlier version has stored,
// because an upgrade must not lose stored state. testdata has a directory for each such version.
// The directory is named after the version's commit and was written by that version's programs.
package storedformat

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/statedir"
	"fernlanding/internal/harness/check"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/cache"
	"fernlanding/internal/scale/result"
	"fernlanding/internal/sidecar"
	"fernlanding/internal/start/record"

	rolloutcheck "fernlanding/internal/harness/rollout/check"
)

const (
	firstVersionDir = "testdata/88596ac"

	// relayListSource identifies, in the sidecar's list cache, the list service-a as relays serve
	// it.
	relayListSource = "4  service-a"
)

// writtenAt is a time shortly after the state directory was written.
var writtenAt = time.UnixMilli(1796253236000)

// copyStored copies a stored directory to a temporary one, so that a test may write to it.
func copyStored(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), name)
	if err := os.CopyFS(dir, os.DirFS(filepath.Join(firstVersionDir, name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// readFile returns the content of a stored file.
func readFile(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(firstVersionDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// The sidecar restores the endpoint list that an earlier version has cached.
func TestListCacheIsRead(t *testing.T) {
	list, age, err := cache.NewStore(copyStored(t, "state"), "api", relayListSource).Load(writtenAt, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	want := &membership.List{Version: 1, Full: true, Endpoints: []membership.Endpoint{
		{Name: "b1", Address: "127.0.0.1:9001", Zone: "a", Cell: 1, Weight: 1},
		{Name: "b2", Address: "127.0.0.1:9002", Status: membership.Draining, Weight: 1},
	}}
	if !membership.Equal(list, want) || list.Version != want.Version {
		t.Errorf("got %+v, want %+v", list, want)
	}
	if age <= 0 || age >= time.Minute {
		t.Errorf("age: got %v, want more than 0 and less than 1m", age)
	}
}

// The record of earlier starts is read.
func TestStartRecordIsRead(t *testing.T) {
	recent, err := record.Open(copyStored(t, "state")).RecordStart(writtenAt)
	if err != nil || recent != 1 {
		t.Errorf("earlier starts: got %d and error %v, want 1", recent, err)
	}
}

// The sidecar restores the configuration in force, which it has got from relays. That configuration
// has 250ms where the file that the process is started with has 300ms.
func TestConfigurationInForceIsRead(t *testing.T) {
	file := readFile(t, "app.toml")
	dir := copyStored(t, "state")
	// The cached list is too old by now, which would be logged as a warning.
	if err := os.Remove(filepath.Join(dir, "list-api.json")); err != nil {
		t.Fatal(err)
	}
	t.Chdir(filepath.Dir(dir))
	app, err := config.Decode("app.toml", file)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	s, err := sidecar.NewHollow(app, slog.New(slog.NewTextHandler(&log, nil)), sidecar.HollowOptions{})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if text := log.String(); !strings.Contains(text, "version=1796253233.2") || strings.Contains(text, "level=WARN") {
		t.Errorf("log: got %s, want version=1796253233.2 and no warnings", text)
	}
}

// The source reads its state directory, and starts a new epoch.
func TestSourceDirectoryIsRead(t *testing.T) {
	dir, err := statedir.Open(copyStored(t, "source"), 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := dir.Close(); err != nil {
			t.Error(err)
		}
	})
	items := map[string]int{}
	err = dir.Load(func(u *distribution.Update) error {
		items[u.Resource+" "+u.Version.String()] = len(u.Items)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(items) != 2 || items["lists/service-a 1796253233.1"] != 2 || items["config/reader 1796253233.2"] != 6 {
		t.Errorf("numbers of items by resource and version: got %v", items)
	}
	if dir.Epoch() != 1796253234 {
		t.Errorf("epoch: got %d, want the one after 1796253233", dir.Epoch())
	}
}

// readHistory reads a history. It fails the test for a key in the file for which history.Event has
// no field.
func readHistory(t *testing.T, name string) []history.Event {
	t.Helper()
	data := readFile(t, name)
	events, err := history.Read(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	strict := json.NewDecoder(bytes.NewReader(data))
	strict.DisallowUnknownFields()
	for strict.More() {
		if err := strict.Decode(&history.Event{}); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return events
}

// A stored result of scale measurements is read.
func TestScaleResultIsRead(t *testing.T) {
	got, err := result.Read("scale.json", readFile(t, "scale.json"))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Points) != 1 {
		t.Errorf("points: got %d, want 1", len(got.Points))
	}
}

// A stored history of the harness is read, and its checker and figures give the same results.
func TestHarnessHistoryIsRead(t *testing.T) {
	parsed, err := scenario.Read("harness.toml", readFile(t, "harness.toml"))
	if err != nil {
		t.Fatal(err)
	}
	events := readHistory(t, "harness.jsonl")
	if len(events) != 465 {
		t.Errorf("got %d events, want 465", len(events))
	}
	if verdicts := check.Run(parsed, events); len(verdicts) > 0 {
		t.Errorf("verdicts: got %v, want none", verdicts)
	}
	if figures := check.Measure(parsed, events); figures.Requests != 124 || figures.Attempts != 124 {
		t.Errorf("got %+v, want 124 requests and attempts", figures)
	}
}

// A stored history of a rollout is read, and its checker gives no verdict.
func TestRolloutHistoryIsRead(t *testing.T) {
	parsed, err := plan.Decode("rollout.toml", readFile(t, "rollout.toml"))
	if err != nil {
		t.Fatal(err)
	}
	events := readHistory(t, "rollout.jsonl")
	if len(events) != 400 {
		t.Errorf("got %d events, want 400", len(events))
	}
	if verdicts := rolloutcheck.Run(parsed, events); len(verdicts) > 0 {
		t.Errorf("verdicts: got %v, want none", verdicts)
	}
}
