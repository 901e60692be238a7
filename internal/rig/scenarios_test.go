package rig_test

import (
	"strings"
	"sync"
	"testing"

	"fernlanding/internal/rig/scenario"
)

// hard are starts that something is wrong with. All sidecars have to be ready within a bound of the start all the same, most
// requests are served, and all rules hold.
var hard = []struct{ name, more string }{
	{"told to end at the start", `
[bounds]
served_part = 0.4
[[faults]]
at = "0s"
for = "300ms"
kind = "term"
share = 0.4
[[faults]]
at = "350ms"
for = "100ms"
kind = "term"
share = 0.6
`},
	{"stopped in the first reading", `
[bounds]
ready_part = 1
ready_within = "2500ms"
[[faults]]
at = "20ms"
for = "1s"
kind = "stop"
share = 0.4
`},
	{"list services that answer nothing at first", `
[bounds]
ready_part = 1
ready_within = "5s"
[[faults]]
at = "0s"
for = "1500ms"
kind = "silent"
`},
	{"lists that break off at first", `
[bounds]
ready_part = 1
ready_within = "4s"
[[faults]]
at = "0s"
for = "1s"
kind = "half-body"
`},
	{"lists that are empty at first", `
[bounds]
ready_part = 1
ready_within = "4s"
[[faults]]
at = "0s"
for = "1s"
kind = "empty"
`},
	{"lists that are empty for a moment, under one version", `
[bounds]
served_part = 0.6
[[faults]]
at = "1s"
for = "200ms"
kind = "empty"
`},
	{"one list service steps back", `
[bounds]
ready_part = 1
ready_within = "3s"
[[faults]]
at = "200ms"
for = "2s"
kind = "older"
names = ["list-1"]
`},
	{"lists come two seconds late, in one direction", `
[bounds]
ready_part = 1
ready_within = "4s"
[[faults]]
at = "0s"
for = "3s"
kind = "delay"
link = "sidecars-lists"
way = "back"
delay = "2s"
`},
	{"clocks that differ", `
[sidecars]
skew = "30s"
[backends]
cold = "2s"
start_capacity = 0.25
[bounds]
ready_part = 1
ready_within = "3s"
served_part = 0.5
[[faults]]
at = "800ms"
for = "700ms"
kind = "replace"
share = 0.3
`},
	{"backends that take few connections from a short queue", `
[backends]
accepts = 40
backlog = 4
[bounds]
ready_part = 1
ready_within = "3s"
served_part = 0.3
`},
	{"old lists with addresses of another service, and no list service", `
[sidecars]
state = true
[bounds]
served_part = 0.5
[[faults]]
at = "900ms"
for = "2100ms"
kind = "down"
[[faults]]
at = "1s"
for = "1s"
kind = "kill"
[[faults]]
at = "1100ms"
for = "1900ms"
kind = "moved"
share = 0.34
`},
}

const hardBase = `
name = "hard"
for = "4s"
[sidecars]
count = 12
sites = ["a", "b"]
told = true
%SIDECARS%
[lists]
count = 2
rate = 50
[backends]
count = 6
processes = 2
cores = 8
%BACKENDS%
[clients]
rate = 200
poll = "50ms"
`

func TestHardStarts(t *testing.T) {
	if testing.Short() {
		t.Skip("starts some hundred processes")
	}
	together := make(chan struct{}, 3)
	var all sync.WaitGroup
	for _, c := range hard {
		all.Go(func() {
			together <- struct{}{}
			defer func() { <-together }()
			sc := decode(t, hardText(c.more))
			verdicts, f := play(t, sc, options(program))
			for _, v := range verdicts {
				t.Errorf("%s: %s", c.name, v)
			}
			t.Logf("%s: %.0f of %d served, ready after %.2f %.2f %.2f s, never %d, pushed %.1f s", c.name, f.Served, f.Asked, f.ReadyP50, f.ReadyP95, f.ReadyAll, f.Never, f.Pushed)
			if f.Asked < 200 {
				t.Errorf("%s: %d requests: the run shows nothing\n%s", c.name, f.Asked, scenario.Text(sc.Schedule()))
			}
		})
	}
	all.Wait()
}

// hardText puts the lines of a case's [sidecars] and [backends] into the base's, and the rest after it.
func hardText(more string) string {
	text := hardBase
	for _, table := range []string{"sidecars", "backends"} {
		lines := ""
		if before, after, ok := strings.Cut(more, "["+table+"]\n"); ok {
			var rest string
			if i := strings.Index(after, "["); i >= 0 {
				lines, rest = after[:i], after[i:]
			} else {
				lines = after
			}
			more = before + rest
		}
		text = strings.Replace(text, "%"+strings.ToUpper(table)+"%", lines, 1)
	}
	return text + more
}
