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

const base = `name = "x"
for = "10s"
[sidecars]
count = 9
sites = ["a", "b"]
[lists]
count = 2
[backends]
count = 5
`

// Read reports each problem of a scenario file in one line with the position, the field and the
// expected value.
func TestReadReportsErrors(t *testing.T) {
	fault := func(lines string) string { return base + "[[faults]]\n" + lines }
	for _, c := range []struct{ text, want string }{
		{"", `s.toml:1:1: MISSING: name: missing field "name": the scenario's name expected`},
		{"name = \"x\"\nfor = \"1h\"\n", `s.toml:2:7: RANGE: for: invalid value "1h": must be from 100ms to 10m0s`},
		{
			"name = \"x\"\n[sidecars]\ncount = 5000\n",
			"s.toml:3:9: RANGE: sidecars.count: invalid value 5000: must be from 1 to 1000",
		},
		{"name = \"x\"\n[sidecar]\n", `UNKNOWN-FIELD: sidecar: unknown field "sidecar"; did you mean "sidecars"?`},
		{base + "processes = 6\n", "backends.processes: invalid value 6: 1 to the 5 backends expected"},
		{
			fault("kind = \"cutt\"\nlink = \"sidecars-lists\"\n"),
			`faults[1].kind: invalid value "cutt": must be one of choke, cut`,
		},
		{
			fault("kind = \"cut\"\nlink = \"lists-backends\"\n"),
			`faults[1].link: invalid value "lists-backends": ` +
				`must be one of clients-sidecars, sidecars-lists, sidecars-backends`,
		},
		{
			fault("kind = \"cut\"\nlink = \"sidecars-lists\"\nat = \"9s\"\nfor = \"2s\"\n"),
			"faults[1].for: invalid value \"2s\": the fault to end by the run's end, 10s, expected; it ends at 11s",
		},
		{
			fault("kind = \"cut\"\nlink = \"sidecars-lists\"\nnames = [\"sidecar-10\"]\n"),
			`faults[1].names: "sidecar-10" is no process of this run; sidecar-1 to sidecar-9 expected`,
		},
		{
			fault("kind = \"cut\"\nlink = \"sidecars-lists\"\non = \"backends\"\n"),
			"faults[1].on: invalid value \"backends\": backends are at no end of the link sidecars-lists",
		},
		{
			fault("kind = \"oneway\"\nlink = \"sidecars-lists\"\n"),
			"faults[1].way: missing field \"way\": the direction expected: there or back",
		},
		{
			fault("kind = \"delay\"\nlink = \"sidecars-lists\"\n"),
			`faults[1].delay: missing field "delay": the delay expected`,
		},
		{
			fault("kind = \"slow\"\nlink = \"sidecars-lists\"\n"),
			`faults[1].rate: missing field "rate": bytes a second expected`,
		},
		{
			fault("kind = \"kill\"\nsite = \"c\"\n"),
			`faults[1].site: invalid value "c": one of the sites expected: a, b`,
		},
		{
			fault("kind = \"kill\"\non = \"backends\"\nshare = 0.5\n"),
			"faults[1].on: invalid value \"backends\": backends share processes",
		},
		{
			fault("kind = \"kill\"\non = \"sites\"\n"),
			`faults[1].site: missing field "site": ` +
				"one of the sites expected, and as many list services and processes of backends for each",
		},
		{
			fault("kind = \"cut\"\nlink = \"sidecars-lists\"\nacross = true\n"),
			"faults[1].across: invalid value true: a site expected beside it",
		},
		{
			"name = \"x\"\n[sidecars]\nsites = [\"a\", \"a\"]\n",
			`s.toml:3:1: RANGE: sidecars.sites: "a" is duplicate or empty`,
		},
		{
			base + "[clients]\nroam = true\n",
			"clients.processes: as many for each of the 2 sites expected with roam, 1 found",
		},
		{fault("kind = \"kill\"\nat = 3\n"), `faults[1].at: invalid value 3: must be a duration with a unit`},
		{
			base + "[random]\ncount = 3\n",
			`random.kinds: missing field "kinds": the kinds of faults that are drawn expected`,
		},
		{base + "[random]\ncount = 3\nkinds = [\"kil\"]\n", `random.kinds: "kil" is no kind of fault`},
		{
			base + "[random]\ncount = 3\nkinds = [\"kill\"]\nfrom = \"9s\"\nuntil = \"8s\"\n",
			"random.until: invalid value \"8s\": after from, and at most the run's 10s expected",
		},
	} {
		_, err := scenario.Read("s.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s\ngot  %v\nwant %s", c.text, err, c.want)
		}
	}
}

// read decodes a scenario.
func read(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	spec, err := scenario.Read("s.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

// Read accepts the example files. Equal seeds give equal schedules, and a schedule is unchanged
// after Text has encoded and Read has decoded it.
func TestScheduleDeterminismAndRoundTrip(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/rig/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := scenario.Read(file, data); err != nil {
			t.Error(err)
		}
	}
	kinds := strings.Join(scenario.KindNames(), `","`)
	text := base + "[random]\ncount = 30\nkinds = [\"" + kinds + "\"]\nlong = \"4s\"\n"
	schedules := map[string]bool{}
	for seed := range uint64(50) {
		spec := read(t, text)
		spec.Seed = seed
		drawn := spec.Schedule()
		if !reflect.DeepEqual(drawn, spec.Schedule()) {
			t.Fatalf("seed %d: two calls of Schedule returned different schedules", seed)
		}
		for _, f := range drawn {
			if f.At < 0 || f.At+f.Duration > spec.Duration || len(f.Names) == 0 {
				t.Errorf("seed %d: fault outside the run or without names: %+v", seed, f)
			}
		}
		schedules[scenario.Text(drawn)] = true
		again := read(t, base+scenario.Text(drawn)).Schedule()
		if len(again) != len(drawn) {
			t.Fatalf("seed %d: got %d faults after a round trip, want %d", seed, len(again), len(drawn))
		}
		for i, f := range again {
			if !isSameFault(f, drawn[i]) {
				t.Errorf("seed %d: got %+v after a round trip, want %+v", seed, f, drawn[i])
			}
		}
	}
	if len(schedules) < 50 {
		t.Errorf("got %d different schedules for 50 seeds", len(schedules))
	}
}

// isSameFault reports whether two faults agree in the fields that a file stores for every kind.
func isSameFault(a, b scenario.Fault) bool {
	return a.At == b.At && a.Duration == b.Duration && a.Kind == b.Kind && a.Link == b.Link &&
		a.Direction == b.Direction && slices.Equal(a.Names, b.Names) && a.Delay == b.Delay && a.Rate == b.Rate
}

// Shrink returns exactly the faults that are needed for the failure.
func TestShrink(t *testing.T) {
	var all []scenario.Fault
	for i := range 20 {
		all = append(all, scenario.Fault{At: time.Duration(i) * time.Second, Kind: scenario.Kill})
	}
	hasFaultAt := func(faults []scenario.Fault, second int) bool {
		at := time.Duration(second) * time.Second
		return slices.ContainsFunc(faults, func(f scenario.Fault) bool { return f.At == at })
	}
	for _, need := range [][]int{{}, {0}, {19}, {3, 4}, {1, 10, 18}, {0, 5, 6, 7, 19}} {
		runs := 0
		least, found := scenario.Shrink(all, func(faults []scenario.Fault) bool {
			runs++
			for _, n := range need {
				if !hasFaultAt(faults, n) {
					return false
				}
			}
			return true
		})
		if !found || len(least) != len(need) || runs > 150 {
			t.Errorf("needed faults %v: got %d faults, found %t after %d runs", need, len(least), found, runs)
		}
	}
	if _, found := scenario.Shrink(all, func([]scenario.Fault) bool { return false }); found {
		t.Error("Shrink reported a failure for a schedule that does not fail")
	}
}

// FuzzRead checks that every scenario that Read accepts is within the limits and has a schedule.
func FuzzRead(f *testing.F) {
	const random = "[random]\ncount = 3\nkinds = [\"kill\", \"delay\"]\n"
	f.Add([]byte(base + random + "[[faults]]\nkind = \"hold\"\nlink = \"clients-sidecars\"\nshare = 0.5\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		spec, err := scenario.Read("s.toml", data)
		if err != nil {
			return
		}
		if spec.Sidecars.Count < 1 || spec.Sidecars.Count > scenario.MaxSidecars ||
			spec.Duration > scenario.MaxDuration {
			t.Errorf("accepted scenario exceeds the limits: %+v", spec)
		}
		spec.Schedule()
	})
}
