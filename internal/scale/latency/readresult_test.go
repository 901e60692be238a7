package latency

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// validResult returns a valid result.
func validResult() *Result {
	round := func(added float64) Stats {
		return Stats{
			DirectCalls: 100, ThroughCalls: 100,
			Direct:   Quantiles{0.1, 0.2, 0.25, 0.5},
			Through:  Quantiles{0.25, 0.3, 0.25 + added, 2},
			AddedP50: 0.15, AddedP90: 0.1, AddedP99: added, CoupledP99: added,
			DirectDifferenceP50: -0.01, DirectDifferenceP99: 0.02,
			SendLatenessP50: 0.001, SendLatenessP99: 0.002, ReceiveLatenessP99: 0.003, LoadAverage: [3]float64{1, 2, 3},
		}
	}
	c := CaseResult{
		Name: "one hop", RatePerSecond: 271, Hops: 1, Connections: 32, Backends: 1,
		SegmentSeconds: 1, SidecarCPUPerCallUS: 150,
		Rounds: []Stats{round(0.25), round(0.375), round(0.5)}, All: round(0.375),
	}
	c.All.DirectCalls, c.All.ThroughCalls = 300, 300
	c.fillSpreads()
	return &Result{
		Format: Format, Plan: "latency", Date: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		GoVersion: "go1.26.0", Cores: 8, Seed: 1,
		Spacing: Poisson, SidecarCores: 2, SidecarMemoryMB: 64, TargetMS: 0.34, Cases: []CaseResult{c},
	}
}

// encode returns the contents of the file of a result.
func encode(tb testing.TB, r *Result) []byte {
	tb.Helper()
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

func TestReadResult(t *testing.T) {
	data := encode(t, validResult())
	r, err := ReadResult("r.json", data)
	if err != nil {
		t.Fatal(err)
	}
	if again := encode(t, r); string(again) != string(data) {
		t.Errorf("the round trip changes the result:\n%s", again)
	}
}

// Each problem of a result is reported on one line with the file, the line and the field.
func TestReadResultErrorsNameLineAndField(t *testing.T) {
	for _, x := range []struct{ name, from, to, want string }{
		{"version", `"format": 1`, `"format": 2`, `r.json:2: format: got 2, want 1`},
		{"no version", `"format": 1,`, ``, `r.json: format: got 0, want 1`},
		{
			"unknown field", `"cores": 8`, `"cores": 8, "corse": 8`,
			`r.json:6: corse: unknown field in format 1`,
		},
		{"unknown field below", `"hops": 1`, `"hop": 1`, `r.json:16: hop: unknown field`},
		{"kind", `"cores": 8`, `"cores": "8"`, `r.json:6: cores: got string, want int`},
		{"syntax", `"cores": 8,`, `"cores": 8`, `r.json:7: invalid character`},
		{"cut off", `"cores": 8,`, ``, ``},
		{"date", `"2026-01-02T03:04:05Z"`, `"yesterday"`, `r.json: `},
		{"spacing", `"poisson"`, `"bursts"`, `r.json:8: spacing: got "bursts", want`},
		{"no cores", `"cores": 8`, `"cores": 0`, `r.json:6: cores: got 0, want at least 1`},
		{
			"rate", `"rate_per_second": 271`, `"rate_per_second": -271`,
			`r.json:15: cases[0].rate_per_second: got -271, want`,
		},
		{"hops", `"hops": 1`, `"hops": 17`, `r.json:16: cases[0].hops: got 17, want 1 to 16`},
		{
			"quantiles out of order", `"p50_ms": 0.1,`, `"p50_ms": 0.3,`,
			`r.json:50: cases[0].all.direct.p90_ms: got 0.2, want 0.3 to 60000`,
		},
		{
			"no time at all", `"p50_ms": 0.1,`, `"p50_ms": 0,`,
			`r.json:49: cases[0].all.direct.p50_ms: got 0, want 1e-06 to 60000`,
		},
		{
			"difference", `"added_p99_ms": 0.25`, `"added_p99_ms": 0.2`,
			`cases[0].rounds[0].added_p99_ms: got 0.2, want 0.25 from other fields`,
		},
		{
			"spread", `"lowest": 0.25`, `"lowest": 0.2`,
			`cases[0].added_p99_ms.lowest: got 0.2, want 0.25 from other fields`,
		},
		{
			"sum", `"direct_calls": 300`, `"direct_calls": 301`,
			`cases[0].all.direct_calls: got 301, want the sum over the rounds, 300`,
		},
		{
			"more rejected than sent", `"refused_calls": 0`, `"refused_calls": 999`,
			`cases[0].all.refused_calls: got 999, want less than 600`,
		},
		{
			"more failed than sent", `"failed_calls": 0`, `"failed_calls": 999`,
			`cases[0].all.failed_calls: got 999, want less than 600`,
		},
		{
			"lateness", `"send_lateness_p99_ms": 0.002`, `"send_lateness_p99_ms": 0.0001`,
			`send_lateness_p99_ms: got 0.0001, want 0.001 to`,
		},
	} {
		good := string(encode(t, validResult()))
		bad := strings.Replace(good, x.from, x.to, 1)
		if x.name == "cut off" {
			bad = good[:len(good)/2]
		}
		if bad == good {
			t.Errorf("%s: the result does not contain %q", x.name, x.from)
			continue
		}
		_, err := ReadResult("r.json", []byte(bad))
		var fault *ResultError
		if !errors.As(err, &fault) || !strings.Contains(err.Error(), x.want) ||
			strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "r.json") {
			t.Errorf("%s: got error %v, want %s", x.name, err, x.want)
		}
	}
}

func TestReadResultRejectsInvalidDocuments(t *testing.T) {
	good := string(encode(t, validResult()))
	for name, x := range map[string]struct{ text, want string }{
		"two values": {good + "\n{}", "r.json:"},
		"too large":  {good + strings.Repeat(" ", MaxResultBytes), "exceeds the limit of 1048576"},
		"nothing":    {"", "r.json: "},
		"deep":       {strings.Repeat(`{"format":`, 20_000), "r.json"},
	} {
		_, err := ReadResult("r.json", []byte(x.text))
		if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want %s", name, err, x.want)
		}
	}
}

// The verdict is Undecided if the distance from the median to the goal is not larger than the
// difference between direct segments.
func TestVerdict(t *testing.T) {
	c := &validResult().Cases[0] // added p99: 0.375 ms; direct against direct: 0.02 ms
	for target, want := range map[float64]Verdict{
		0.34:  Missed,
		0.36:  Undecided,
		0.375: Undecided,
		0.39:  Undecided,
		0.41:  Reached,
	} {
		if got := c.Verdict(target); got != want {
			t.Errorf("goal %g ms: %s, want %s", target, got, want)
		}
	}
	c.Rounds[0].DirectDifferenceP99, c.Rounds[1].DirectDifferenceP99 = -3, 2
	if got := c.Verdict(0.34); got != Undecided {
		t.Errorf("noise of either sign: %s, want %s", got, Undecided)
	}
	late := &validResult().Cases[0]
	late.All.SendLatenessP99 = 0.05
	if got := late.Verdict(0.34); got != Undecided {
		t.Errorf("client that sends late: %s, want %s", got, Undecided)
	}
}

// The committed results are valid.
func TestCommittedResults(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/scale/results/latency-*.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ReadResult(name, data); err != nil {
			t.Error(err)
		}
	}
}

// FuzzReadResult checks that ReadResult does not panic, that an accepted result has cases and
// rounds, and that an error is one line.
func FuzzReadResult(f *testing.F) {
	f.Add(encode(f, validResult()))
	f.Add([]byte(`{"format":1,"cases":[{"rounds":[{}]}]}`))
	f.Add([]byte(`{"x":[[[[{"y":1}]]]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ReadResult("r.json", data)
		switch {
		case err != nil && strings.Contains(err.Error(), "\n"):
			t.Errorf("error of more than one line: %q", err)
		case err == nil && (r.Format != Format || len(r.Cases) == 0 || len(r.Cases[0].Rounds) < minRounds):
			t.Errorf("accepted an invalid result: %+v", r)
		}
	})
}
