package scenario_test

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/harness/scenario"
)

const base = "name = \"x\"\nfor = \"10s\"\n[sidecars]\ncount = 9\nsites = [\"a\", \"b\"]\n[lists]\ncount = 2\n[backends]\ncount = 5\n"

// Every fault of a scenario is one line with its place, its field and what was expected, and nothing starts.
func TestFaultsOfScenarios(t *testing.T) {
	fault := func(lines string) string { return base + "[[faults]]\n" + lines }
	for _, c := range []struct{ text, want string }{
		{"", `s.toml:1:1: MISSING: name: the scenario's name expected`},
		{"name = \"x\"\nfor = \"1h\"\n", `s.toml:2:7: RANGE: for: found "1h": 100ms to 10m0s expected`},
		{"name = \"x\"\n[sidecars]\ncount = 5000\n", "s.toml:3:9: RANGE: sidecars.count: found 5000: 1 to 1000 expected"},
		{"name = \"x\"\n[sidecar]\n", "UNKNOWN-FIELD: sidecar: unknown field; sidecars meant?"},
		{base + "processes = 6\n", "backends.processes: found 6: 1 to the 5 backends expected"},
		{fault("kind = \"cutt\"\nlink = \"sidecars-lists\"\n"), `faults[1].kind: found "cutt": one of choke, cut`},
		{fault("kind = \"cut\"\nlink = \"lists-backends\"\n"), `faults[1].link: found "lists-backends": one of clients-sidecars, sidecars-lists, sidecars-backends expected`},
		{fault("kind = \"cut\"\nlink = \"sidecars-lists\"\nat = \"9s\"\nfor = \"2s\"\n"), "faults[1].for: found \"2s\": the fault to end by the run's end, 10s, expected; it ends at 11s"},
		{fault("kind = \"cut\"\nlink = \"sidecars-lists\"\nnames = [\"sidecar-10\"]\n"), `faults[1].names: "sidecar-10" is no process of this run; sidecar-1 to sidecar-9 expected`},
		{fault("kind = \"cut\"\nlink = \"sidecars-lists\"\non = \"backends\"\n"), "faults[1].on: found \"backends\": backends are at no end of the link sidecars-lists"},
		{fault("kind = \"oneway\"\nlink = \"sidecars-lists\"\n"), "faults[1].way: the direction expected: there or back"},
		{fault("kind = \"delay\"\nlink = \"sidecars-lists\"\n"), "faults[1].delay: the delay expected"},
		{fault("kind = \"slow\"\nlink = \"sidecars-lists\"\n"), "faults[1].rate: bytes a second expected"},
		{fault("kind = \"kill\"\nsite = \"c\"\n"), `faults[1].site: found "c": one of the sites expected: a, b`},
		{fault("kind = \"kill\"\non = \"backends\"\nshare = 0.5\n"), "faults[1].on: found \"backends\": backends share processes"},
		{fault("kind = \"kill\"\non = \"sites\"\n"), "faults[1].site: one of the sites expected, and as many list services and processes of backends for each"},
		{fault("kind = \"cut\"\nlink = \"sidecars-lists\"\nacross = true\n"), "faults[1].across: found true: a site expected beside it"},
		{"name = \"x\"\n[sidecars]\nsites = [\"a\", \"a\"]\n", `s.toml:3:1: RANGE: sidecars.sites: "a" stands twice or is empty`},
		{base + "[clients]\nroam = true\n", "clients.processes: as many for each of the 2 sites expected with roam, 1 found"},
		{fault("kind = \"kill\"\nat = 3\n"), `faults[1].at: found 3: a time with a unit`},
		{base + "[random]\ncount = 3\n", "random.kinds: the kinds of faults that are drawn expected"},
		{base + "[random]\ncount = 3\nkinds = [\"kil\"]\n", `random.kinds: "kil" is no kind of fault`},
		{base + "[random]\ncount = 3\nkinds = [\"kill\"]\nfrom = \"9s\"\nuntil = \"8s\"\n", "random.until: found \"8s\": after from, and at most the run's 10s expected"},
	} {
		_, err := scenario.Read("s.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s\ngot  %v\nwant %s", c.text, err, c.want)
		}
	}
}

func read(t testing.TB, text string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Read("s.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// The examples are read, and a schedule is the same each time for one seed and stands in a file as it was drawn.
func TestSchedules(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/rig/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := scenario.Read(f, data); err != nil {
			t.Error(err)
		}
	}
	text := base + "[random]\ncount = 30\nkinds = [" + `"` + strings.Join(scenario.KindNames(), `","`) + `"` + "]\nlong = \"4s\"\n"
	schedules := map[string]bool{}
	for seed := range uint64(50) {
		sc := read(t, text)
		sc.Seed = seed
		drawn := sc.Schedule()
		if !reflect.DeepEqual(drawn, sc.Schedule()) {
			t.Fatalf("seed %d gives two schedules", seed)
		}
		for _, f := range drawn {
			if f.At < 0 || f.At+f.Duration > sc.Duration || len(f.Names) == 0 {
				t.Errorf("seed %d: %+v", seed, f)
			}
		}
		schedules[scenario.Text(drawn)] = true
		again := read(t, base+scenario.Text(drawn)).Schedule()
		if len(again) != len(drawn) {
			t.Fatalf("seed %d: %d faults written, %d read", seed, len(drawn), len(again))
		}
		for i, f := range again {
			d := drawn[i]
			if f.At != d.At || f.Duration != d.Duration || f.Kind != d.Kind || f.Link != d.Link || f.Direction != d.Direction || !slices.Equal(f.Names, d.Names) || f.Delay != d.Delay || f.Rate != d.Rate {
				t.Errorf("seed %d: written %+v, read %+v", seed, d, f)
			}
		}
	}
	if len(schedules) < 50 {
		t.Errorf("%d schedules of 50 seeds", len(schedules))
	}
}

// Shrinking leaves exactly the faults that are needed.
func TestShrink(t *testing.T) {
	var all []scenario.Fault
	for i := range 20 {
		all = append(all, scenario.Fault{At: time.Duration(i) * time.Second, Kind: scenario.Kill})
	}
	for _, need := range [][]int{{}, {0}, {19}, {3, 4}, {1, 10, 18}, {0, 5, 6, 7, 19}} {
		plays := 0
		least, found := scenario.Shrink(all, func(f []scenario.Fault) bool {
			plays++
			for _, n := range need {
				if !slices.ContainsFunc(f, func(x scenario.Fault) bool { return x.At == time.Duration(n)*time.Second }) {
					return false
				}
			}
			return true
		})
		if !found || len(least) != len(need) || plays > 150 {
			t.Errorf("needed %v: %d left after %d plays", need, len(least), plays)
		}
	}
	if _, found := scenario.Shrink(all, func([]scenario.Fault) bool { return false }); found {
		t.Error("found in a schedule that does not fail")
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(base + "[random]\ncount = 3\nkinds = [\"kill\", \"delay\"]\n[[faults]]\nkind = \"hold\"\nlink = \"clients-sidecars\"\nshare = 0.5\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sc, err := scenario.Read("s.toml", data)
		if err != nil {
			return
		}
		if sc.Sidecars.Count < 1 || sc.Sidecars.Count > scenario.MaxSidecars || sc.Duration > scenario.MaxFor {
			t.Errorf("out of bounds: %+v", sc)
		}
		sc.Schedule()
	})
}
