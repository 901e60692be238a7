package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// oneTierDay describes a day of a fleet with one tier.
const oneTierDay = `length = "6s"
warmup = "1s"
load = 0.6
[[classes]]
name = "c"
share = 1.0
work = "50ms"
aim = "1s"
deadline = "2s"
[[tiers]]
work = 1.0
kinds = [{ count = 4 }]
`

func TestFleetCommands(t *testing.T) {
	dir := t.TempDir()
	day, slow := filepath.Join(dir, "day.toml"), filepath.Join(dir, "slow.toml")
	const slowFault = "name = \"slow\"\n[[trouble]]\nkind = \"slow\"\nat = \"2s\"\nfor = \"1s\"\n"
	for name, text := range map[string]string{day: oneTierDay, slow: slowFault} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		args []string
		code int
		want string // part of standard output, or of standard error if the code is not 0
	}{
		{[]string{"run", day, slow}, 0, "seconds from the end of each trouble"},
		{[]string{"run", "-json", day}, 0, `"service": `},
		{[]string{"sweep", "-seeds", "3", day, slow, day}, 0, "slow      3"},
		{[]string{"explain", day}, 0, "out # and room :"},
		{[]string{"explain", "-svg", "-seed", "4", day}, 0, "</svg>"},
		{[]string{"explain", "-copy", "9", day}, 2, "fernctl: fleet explain: no copy 9 of tier 0"},
		{[]string{"sweep", "-seeds", "0", day}, 2, "invalid -seeds 0: must be between 1 and 10000"},
		{[]string{"sweep"}, 2, "fleet sweep: missing FILE argument"},
		{[]string{"run"}, 2, "fleet run: missing FILE argument"},
		{[]string{"run", filepath.Join(dir, "none.toml")}, 2, "no such file"},
		{[]string{"run", slow}, 2, "slow.toml: load: found 0"},
		{nil, 2, "a command is required: one of run, sweep, explain and coldstart"},
	} {
		var out, log bytes.Buffer
		code := run(context.Background(), append([]string{"fleet"}, c.args...), &out, &log)
		got := out.String()
		if c.code != 0 {
			got = log.String()
		}
		if code != c.code || !strings.Contains(got, c.want) {
			t.Errorf("%v: got exit code %d, want %d with %q: %s%s",
				c.args, code, c.code, c.want, out.String(), log.String())
		}
	}
	var out bytes.Buffer
	code := run(context.Background(), []string{"fleet", "run", "-json", day}, &out, &bytes.Buffer{})
	var outcome map[string]any
	if err := json.Unmarshal(out.Bytes(), &outcome); err != nil || code != 0 || outcome["calm"] == nil {
		t.Errorf("fleet run -json: got exit code %d, %v: %s", code, err, out.String())
	}
}
