package rig_test

import (
	"strings"
	"testing"
)

// lossBase is three sites of four sidecars at 0.85 of what all backends can do.
const lossBase = `
name = "loss"
for = "11s"
[sidecars]
count = 12
sites = ["a", "b", "c"]
told = true
[lists]
count = 3
[backends]
count = 6
processes = 3
cores = 8
waiting = 32
work = "100ms"
cold = "4s"
start_capacity = 0.25
[clients]
rate = 408
processes = 3
poll = "50ms"
roam = true
worth = true
[[faults]]
at = "2s"
for = "3s"
site = "a"
`

// A site that dies with all that is in it, is cut off, or stands still and goes on, takes nothing with it: what the others can
// serve is served within six seconds, and a site that comes back cold is not pushed over by those that are glad of it.
func TestASiteIsLostAndComesBack(t *testing.T) {
	if testing.Short() {
		t.Skip("plays for half a minute")
	}
	for name, c := range map[string]struct {
		fault string
		least float64 // part of the requests asked three seconds from the beginning on that is served
	}{
		"killed":  {"kind = \"kill\"\non = \"sites\"\n", 0},
		"stopped": {"kind = \"stop\"\non = \"sites\"\n", 0},
		"cut off": {"kind = \"cut\"\nlink = \"sidecars-backends\"\nacross = true\n", 0.9},
		"one way": {"kind = \"oneway\"\nway = \"back\"\nlink = \"sidecars-backends\"\nacross = true\n", 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := lossBase + c.fault
			if c.least > 0 { // the whole site goes on, and its clients with it
				text = strings.Replace(text, `for = "3s"`, `for = "6s"`, 1)
			}
			verdicts, f := play(t, decode(t, text), options(program))
			for _, v := range verdicts {
				t.Error(v)
			}
			if len(f.Losses) != 1 {
				t.Fatalf("losses %+v", f.Losses)
			}
			l := f.Losses[0]
			if l.Within < 0 || l.Within > 6 || l.Served < c.least || l.Back < 0.8 {
				t.Errorf("%+v", l)
			}
			t.Logf("%+v", l)
		})
	}
}
