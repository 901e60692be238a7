package plan

import (
	"encoding/json"
	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/scenario"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

const base = `
name = "x"
for = "20s"
[followers]
processes = 2
each = 3
`

// What is wrong is refused with its place, all of it, a line each.
func TestBadScenariosAreRefused(t *testing.T) {
	for _, c := range []struct{ text, place, want string }{
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
		_, err := Read("f.toml", []byte(c.text))
		if err == nil {
			t.Errorf("accepted:\n%s", c.text)
			continue
		}
		if !strings.HasPrefix(err.Error(), c.place) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %s... with %q expected", err, c.place, c.want)
		}
	}
}

// The same seed gives the same schedule and the same puts, another one others.
func TestDrawsFollowTheSeed(t *testing.T) {
	read := func(seed uint64) *Scenario {
		sc, err := Read("f.toml", []byte(base+"[publisher]\nrefused = 0.1\n[random]\ncount = 8\nkinds = [\"cut\", \"kill\", \"stop\", \"restart\"]\n"))
		if err != nil {
			t.Fatal(err)
		}
		sc.Seed = seed
		return sc
	}
	if !reflect.DeepEqual(read(1).Schedule(), read(1).Schedule()) || !reflect.DeepEqual(read(1).Puts(), read(1).Puts()) {
		t.Error("one seed, two plans")
	}
	if reflect.DeepEqual(read(1).Schedule(), read(2).Schedule()) || reflect.DeepEqual(read(1).Puts(), read(2).Puts()) {
		t.Error("two seeds, one plan")
	}
}

// No process is acted on twice at a time, and all faults end by the end of the run's faults.
func TestFaultsOfProcessesDoNotOverlap(t *testing.T) {
	for seed := range uint64(200) {
		sc := shipped(t, "full.toml")
		sc.Seed = seed
		until := map[string]time.Duration{}
		for _, f := range sc.Schedule() {
			if f.At+f.For > sc.For || len(f.Names) == 0 {
				t.Fatalf("seed %d: %v", seed, f)
			}
			if IsOfLinks(f.Kind) {
				continue
			}
			for _, name := range f.Names {
				if f.At <= until[name] {
					t.Fatalf("seed %d: %s is acted on before %v already: %v", seed, name, until[name], f)
				}
				until[name] = f.At + f.For
			}
		}
	}
}

// shipped reads one of the scenarios that come with the program.
func shipped(t testing.TB, name string) *Scenario {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("../../../../deploy/rig/rollout", name))
	if err != nil {
		t.Fatal(err)
	}
	sc, err := Read(name, data)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// The puts have what the scenario asks for: urgent deletions, two at a time, refusals and a last word.
func TestPutsAreWhatTheScenarioSays(t *testing.T) {
	sc := shipped(t, "full.toml")
	urgent, twins, refusals, last := 0, 0, 0, 0
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
			twins++
		}
		for _, item := range request.Items {
			if item.Key == RefuseKey && !item.Deleted {
				refusals++
			}
			if item.Urgent && !item.Deleted {
				t.Errorf("%s: an urgent item that stays", p.ID)
			}
		}
		if p.At >= sc.For {
			last++
			if !p.Insist || !request.Replace || len(request.Items) != sc.Publisher.Items {
				t.Errorf("%s is not the whole resource", p.ID)
			}
		}
	}
	if urgent < 20 || twins < 10 || refusals < 2 || last != sc.Publisher.Resources {
		t.Errorf("%d urgent, %d at the time of another, %d refused, %d last", urgent, twins, refusals, last)
	}
}

// Followers have the relays of their zone, and a way for each of these and each region.
func TestWays(t *testing.T) {
	sc := shipped(t, "full.toml")
	for _, follower := range sc.FollowerNames() {
		relays, ways := sc.RelaysOf(follower), sc.Ways(follower)
		if len(relays) != sc.Relays.PerZone || len(ways) != sc.Relays.PerZone*sc.Relays.Regions {
			t.Errorf("%s: relays %v, %d ways", follower, relays, len(ways))
		}
		for _, relay := range relays {
			if sc.ZoneOf(relay) != sc.ZoneOf(follower) {
				t.Errorf("%s of zone %s has %s", follower, sc.ZoneOf(follower), relay)
			}
		}
	}
	way := sc.Ways("follower-1")[0]
	touched := func(f Fault) (n int) {
		for _, h := range way {
			if Touches(f, h) {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
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
		if n := touched(c.fault); n != c.want {
			t.Errorf("%v touches %d elements, %d expected", c.fault, n, c.want)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(base + "[random]\ncount = 3\nkinds = [\"cut\", \"slow\"]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sc, err := Read("f.toml", data)
		if err == nil {
			sc.Schedule()
		}
	})
}
