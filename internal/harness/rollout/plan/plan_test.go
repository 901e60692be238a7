package plan

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/scenario"
)

// base is a valid scenario.
const base = `
name = "x"
for = "20s"
[followers]
processes = 2
each = 3
`

// Decode rejects an invalid scenario and reports the position of the problem.
func TestDecodeRejectsInvalidScenarios(t *testing.T) {
	for _, test := range []struct{ text, place, want string }{
		{"for = \"1s\"\n", "f.toml", "name"},
		{base + "each = 0\n", "f.toml:7:", "DOUBLE-FIELD"},
		{base + "colour = 1\n", "f.toml:7:1", "colour"},
		{strings.Replace(base, "each = 3", "each = 2000", 1), "f.toml:6:", "followers in all"},
		{base + "follows = 5\n", "f.toml:7:", "at most the 4 resources"},
		{base + "[[faults]]\nkind = \"kil\"\n", "f.toml:8:", "kill"},
		{base + "[[faults]]\nkind = \"kill\"\n", "f.toml", "on"},
		{base + "[[faults]]\nkind = \"kill\"\non = \"zones\"\nnames = [\"zone-9\"]\n", "f.toml:10:", "zone-9"},
		{base + "[[faults]]\nkind = \"kill\"\non = \"zones\"\nzone = \"z\"\n", "f.toml:10:", "zones"},
		{base + "[[faults]]\nkind = \"oneway\"\nlink = \"zones-regions\"\n", "f.toml", "direction"},
		{base + "[[faults]]\nkind = \"delay\"\nlink = \"zones-regions\"\n", "f.toml", "delay"},
		{base + "[[faults]]\nkind = \"slow\"\nlink = \"zones-regions\"\n", "f.toml", "bytes a second"},
		{base + "[[faults]]\nkind = \"cut\"\nlink = \"zones-followers\"\n", "f.toml:9:", "followers-zones"},
		{base + "[[faults]]\nkind = \"between\"\nat = \"19s\"\nfor = \"2s\"\n", "f.toml:10:", "to end by"},
		{base + "[random]\ncount = 3\n", "f.toml", "kinds"},
		{base + "[random]\nuntil = \"21s\"\n", "f.toml:8:", "at most the run's"},
	} {
		_, err := Decode("f.toml", []byte(test.text))
		if err == nil {
			t.Errorf("Decode accepted:\n%s", test.text)
			continue
		}
		if !strings.HasPrefix(err.Error(), test.place) || !strings.Contains(err.Error(), test.want) {
			t.Errorf("got error %q, want prefix %q and text %q", err, test.place, test.want)
		}
	}
}

// Equal seeds give equal schedules and puts; different seeds give different ones.
func TestSeedDeterminesPlan(t *testing.T) {
	const random = "[publisher]\nrefused = 0.1\n" +
		"[random]\ncount = 8\nkinds = [\"cut\", \"kill\", \"stop\", \"restart\"]\n"
	decode := func(seed uint64) *Scenario {
		sc, err := Decode("f.toml", []byte(base+random))
		if err != nil {
			t.Fatal(err)
		}
		sc.Seed = seed
		return sc
	}
	first, again, other := decode(1), decode(1), decode(2)
	if !reflect.DeepEqual(first.Schedule(), again.Schedule()) || !reflect.DeepEqual(first.Puts(), again.Puts()) {
		t.Error("equal seeds gave different plans")
	}
	if reflect.DeepEqual(first.Schedule(), other.Schedule()) || reflect.DeepEqual(first.Puts(), other.Puts()) {
		t.Error("different seeds gave the same schedule or the same puts")
	}
}

// No two faults act on a process at the same time, and all faults end within the run.
func TestFaultsOfProcessesDoNotOverlap(t *testing.T) {
	for seed := range uint64(200) {
		sc := shipped(t, "full.toml")
		sc.Seed = seed
		busyUntil := map[string]time.Duration{}
		for _, f := range sc.Schedule() {
			if f.At+f.Duration > sc.Duration || len(f.Names) == 0 {
				t.Fatalf("seed %d: fault beyond the end of the run or without targets: %v", seed, f)
			}
			if ActsOnLinks(f.Kind) {
				continue
			}
			for _, name := range f.Names {
				if f.At <= busyUntil[name] {
					t.Fatalf("seed %d: another fault acts on %s until %v, fault %v", seed, name, busyUntil[name], f)
				}
				busyUntil[name] = f.At + f.Duration
			}
		}
	}
}

// shipped decodes one of the scenarios that are shipped with the program.
func shipped(tb testing.TB, name string) *Scenario {
	tb.Helper()
	data, err := os.ReadFile(filepath.Join("../../../../deploy/rig/rollout", name))
	if err != nil {
		tb.Fatal(err)
	}
	sc, err := Decode(name, data)
	if err != nil {
		tb.Fatal(err)
	}
	return sc
}

// The puts have the properties that the scenario requests: urgent deletions, concurrent puts,
// rejections and a final replacement of all resources.
func TestPutsFollowScenario(t *testing.T) {
	sc := shipped(t, "full.toml")
	urgent, concurrent, rejections, last := 0, 0, 0, 0
	puts := sc.Puts()
	for i, p := range puts {
		var request distribution.PutRequest
		if err := json.Unmarshal(p.Request, &request); err != nil {
			t.Fatal(err)
		}
		if p.Urgent {
			urgent++
		}
		if i > 0 && p.At == puts[i-1].At {
			concurrent++
		}
		for _, item := range request.Items {
			if item.Key == RejectKey && !item.Deleted {
				rejections++
			}
			if item.Urgent && !item.Deleted {
				t.Errorf("%s: urgent item is not deleted", p.ID)
			}
		}
		if p.At >= sc.Duration {
			last++
			if !p.Retry || !request.Replace || len(request.Items) != sc.Publisher.Items {
				t.Errorf("%s does not replace the complete resource", p.ID)
			}
		}
	}
	if urgent < 20 || concurrent < 10 || rejections < 2 || last != sc.Publisher.Resources {
		t.Errorf("got %d urgent, %d concurrent, %d rejected and %d final puts", urgent, concurrent, rejections, last)
	}
}

// Followers use the relays of their zone and have one path for each pair of such a relay and a
// region relay. Faults affect the hops of a path that they act on.
func TestPaths(t *testing.T) {
	sc := shipped(t, "full.toml")
	for _, follower := range sc.FollowerNames() {
		relays, paths := sc.RelaysOf(follower), sc.Paths(follower)
		if len(relays) != sc.Relays.PerZone || len(paths) != sc.Relays.PerZone*sc.Relays.Regions {
			t.Errorf("%s: got relays %v and %d paths", follower, relays, len(paths))
		}
		for _, relay := range relays {
			if sc.ZoneOf(relay) != sc.ZoneOf(follower) {
				t.Errorf("%s of zone %s has relay %s of another zone", follower, sc.ZoneOf(follower), relay)
			}
		}
	}
	path := sc.Paths("follower-1")[0]
	affected := func(f Fault) (n int) {
		for _, hop := range path {
			if Affects(f, hop) {
				n++
			}
		}
		return n
	}
	for _, test := range []struct {
		fault Fault
		want  int
	}{
		{Fault{Kind: scenario.Kill, Names: []string{"zone-1"}}, 1},
		{Fault{Kind: scenario.Kill, Names: []string{"zone-2"}}, 0},
		{Fault{Kind: scenario.Cut, Link: FollowersToZones, Names: []string{"follower-1"}}, 1},
		{Fault{Kind: scenario.Cut, Link: FollowersToZones, Names: []string{"follower-2"}}, 0},
		{Fault{Kind: scenario.Cut, Link: ZonesToRegions, Names: []string{"region-1"}}, 1},
		{Fault{Kind: scenario.Cut, Link: PublisherToSource, Names: []string{PublisherName}}, 0},
	} {
		if n := affected(test.fault); n != test.want {
			t.Errorf("%v: got %d affected hops, want %d", test.fault, n, test.want)
		}
	}
}

// FuzzDecode checks that every scenario that Decode accepts has a schedule.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(base + "[random]\ncount = 3\nkinds = [\"cut\", \"slow\"]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sc, err := Decode("f.toml", data)
		if err == nil {
			sc.Schedule()
		}
	})
}
