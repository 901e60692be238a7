package scenario_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/scenario"
)

const base = "format = 1\nname = \"x\"\n[sweep]\ndimension = \"proxies\"\nsizes = [1, 2, 4, 8, 16]\n"

// Each problem of a scenario is reported on one line with position, field and allowed values.
func TestReadErrorsNamePositionAndField(t *testing.T) {
	sweep := func(text string) string { return "format = 1\nname = \"x\"\n[sweep]\n" + text }
	for _, test := range []struct{ text, want string }{
		{"name = \"x\"\n", "s.toml:1:1: VERSION: format: the file format version, 1, expected"},
		{"format = 2\nname = \"x\"\n", "s.toml:1:10: RANGE: format: invalid value 2: must be from 1 to 1"},
		{"format = 1\n", "s.toml:1:1: MISSING: name: missing field \"name\": the scenario's name expected"},
		{
			"format = 1\nsource = \"consl\"\n",
			`source: invalid value "consl": must be one of static, consul, relay; did you mean "consul"?`,
		},
		{
			base + "held = 3\n",
			`s.toml:6:8: UNKNOWN-FIELD: sweep.held: unknown field "held"; known fields: dimension, held_out, sizes`,
		},
		{
			sweep("dimension = \"size\"\n"),
			`s.toml:4:13: WORD: sweep.dimension: invalid value "size": ` +
				`must be one of proxies, services, backends, changes, calls`,
		},
		{sweep("dimension = \"calls\"\nsizes = [1, 2, 4, 8]\n"), "sweep.sizes: 5 to 20 sizes expected, 4 found"},
		{
			sweep("dimension = \"calls\"\nsizes = [1, 2, 4, 7, 14]\n"),
			"sweep.sizes: each a factor of 2 above the one before expected; 7 follows 4",
		},
		{
			sweep("dimension = \"proxies\"\nsizes = [1, 2, 4, 8, 16.5]\n"),
			"s.toml:5:22: RANGE: sweep.sizes[5]: invalid value 16.5: a whole number, 1 to 100000, expected",
		},
		{
			sweep("dimension = \"services\"\nsizes = [1, 2, 4, 8, 512]\n"),
			"sweep.sizes[5]: invalid value 512: a whole number, 1 to 256, expected",
		},
		{
			base + "held_out = 16\n",
			"sweep.held_out: invalid value 16: more than the largest of the sizes, 16, expected",
		},
		{base + "held_out = 17.5\n", "sweep.held_out: invalid value 17.5: a whole number expected"},
		{base + "[size]\nservices = 257\n", "size.services: invalid value 257: must be from 1 to 256"},
		{
			"format = 1\nhollow = false\nname = \"x\"\n" +
				"[sweep]\ndimension = \"proxies\"\nsizes = [20, 40, 80, 160, 320]\n",
			"s.toml:2:10: RANGE: hollow: invalid value false: 200 real proxies at most expected, 320 found",
		},
		{
			"format = 1\nsource = \"static\"\nname = \"x\"\n[size]\nchanges_per_second = 1\n" +
				"[sweep]\ndimension = \"proxies\"\nsizes = [1, 2, 4, 8, 16]\n",
			"changes_per_second 0 expected",
		},
		{base + "[processes]\nproxies = 100\n", "processes.proxies: invalid value 100: must be from 1 to 64"},
		{base + "[size]\nproxies = \"7\"\n", `size.proxies: invalid value "7": must be an integer`},
	} {
		_, err := scenario.Read("s.toml", []byte(test.text))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s\ngot  %v\nwant %s", test.text, err, test.want)
		}
	}
}

// The points of a sweep are in ascending order and differ in the swept dimension only. The held-out
// point is last and marked.
func TestPoints(t *testing.T) {
	const text = "format = 1\nname = \"x\"\n[size]\nproxies = 7\n" +
		"[sweep]\ndimension = \"services\"\nsizes = [1, 2, 4, 8, 16]\nheld_out = 32\n"
	sc, err := scenario.Read("s.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	points := sc.Points()
	if len(points) != 6 {
		t.Fatal(points)
	}
	for i, p := range points {
		want := result.Size{Proxies: 7, Services: 1 << i, TotalServices: 1 << i, Backends: 23}
		if p.Size != want || p.HeldOut != (i == 5) {
			t.Errorf("%+v, want %+v", p, want)
		}
	}
}

func TestReadAcceptsCommittedScenarios(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/scale/*-*.toml")
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
}

// FuzzRead checks that all points of an accepted scenario are within the limits.
func FuzzRead(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(base + "held_out = 100\n[size]\nservices = 3\nchanges_per_second = 0.5\n[processes]\nrelays = 2\n"))
	f.Add([]byte("format = 1\nname = \"x\"\nhollow = false\nsource = \"relay\"\n" +
		"[sweep]\ndimension = \"calls\"\nsizes = [0.5, 1, 2, 4e0, 8]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sc, err := scenario.Read("s.toml", data)
		if err != nil {
			return
		}
		points := sc.Points()
		if len(points) < scenario.MinSizes || len(points) > scenario.MaxSizes+1 {
			t.Fatalf("%d points", len(points))
		}
		for _, p := range points {
			s := p.Size
			isInBounds := s.Proxies >= 1 && s.Proxies <= scenario.MaxProxies &&
				s.Services >= 1 && s.Services <= s.TotalServices &&
				s.Backends >= 2 && s.Backends <= scenario.MaxBackends
			if !isInBounds {
				t.Errorf("size out of bounds: %+v", p)
			}
		}
	})
}
