// Package storedformat tests that data which an earlier version has stored is still read: an upgrade must forget
// nothing. testdata has one directory for each such version, named for its commit and written by its programs.
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
	firstVersion = "testdata/88596ac"

	// relaySource is what the sidecar's list cache calls a list named service-a that comes by relays.
	relaySource = "4  service-a"
)

// writtenAt is a moment shortly after the state directory was written.
var writtenAt = time.UnixMilli(1796253236000)

// copyOf copies a stored directory, so that a test may write to it.
func copyOf(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), name)
	if err := os.CopyFS(dir, os.DirFS(filepath.Join(firstVersion, name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(firstVersion, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestListCacheIsRead(t *testing.T) {
	list, age, err := cache.NewStore(copyOf(t, "state"), "api", relaySource).Load(writtenAt, time.Hour)
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
		t.Errorf("age: got %v, want some seconds", age)
	}
}

func TestRecordOfStartsIsRead(t *testing.T) {
	recent, err := record.Open(copyOf(t, "state")).RecordStart(writtenAt)
	if err != nil || recent != 1 {
		t.Errorf("got %d earlier starts, %v; want 1", recent, err)
	}
}

// The configuration in force says 250ms where the file that the process is started with says 300ms.
func TestConfigurationInForceIsRead(t *testing.T) {
	file := readFile(t, "app.toml")
	dir := copyOf(t, "state")
	if err := os.Remove(filepath.Join(dir, "list-api.json")); err != nil { // is too old by now, which would be logged
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
		t.Errorf("the log says: %s", text)
	}
}

func TestSourceDirectoryIsRead(t *testing.T) {
	dir, err := statedir.Open(copyOf(t, "source"), 0)
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
		t.Errorf("got %v", items)
	}
	if dir.Epoch() != 1796253234 {
		t.Errorf("epoch: got %d, want the one after 1796253233", dir.Epoch())
	}
}

// readHistory reads a history, and fails the test for a key of the file that an Event has no field for.
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

func TestScaleResultIsRead(t *testing.T) {
	got, err := result.Read("scale.json", readFile(t, "scale.json"))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Points) != 1 {
		t.Errorf("got %d points, want 1", len(got.Points))
	}
}

func TestHarnessHistoryIsRead(t *testing.T) {
	played, err := scenario.Read("harness.toml", readFile(t, "harness.toml"))
	if err != nil {
		t.Fatal(err)
	}
	events := readHistory(t, "harness.jsonl")
	if len(events) != 465 {
		t.Errorf("got %d events, want 465", len(events))
	}
	if verdicts := check.Run(played, events); len(verdicts) > 0 {
		t.Errorf("verdicts: %v", verdicts)
	}
	if figures := check.Measure(played, events); figures.Requests != 124 || figures.Attempts != 124 {
		t.Errorf("got %+v, want 124 requests and attempts", figures)
	}
}

func TestRolloutHistoryIsRead(t *testing.T) {
	played, err := plan.Decode("rollout.toml", readFile(t, "rollout.toml"))
	if err != nil {
		t.Fatal(err)
	}
	events := readHistory(t, "rollout.jsonl")
	if len(events) != 400 {
		t.Errorf("got %d events, want 400", len(events))
	}
	if verdicts := rolloutcheck.Run(played, events); len(verdicts) > 0 {
		t.Errorf("verdicts: %v", verdicts)
	}
}
