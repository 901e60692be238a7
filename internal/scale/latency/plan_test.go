package latency

import (
	"os"
	"strings"
	"testing"
	"time"
)

const smallPlan = "format = 1\n[[cases]]\nname = \"one\"\nrate_per_second = 271\n"

func TestReadPlan(t *testing.T) {
	p, err := ReadPlan("p.toml", []byte(smallPlan))
	if err != nil {
		t.Fatal(err)
	}
	want := Case{Name: "one", Rate: 271, Hops: 1, Rounds: 3, Cycles: 1, Connections: 32, Backends: 1}
	if p.Cases[0] != want || p.Spacing != Poisson || p.Segment != time.Second || p.TargetMS != 0.34 {
		t.Errorf("%+v", p)
	}
}

func TestReadPlanErrorsNamePositionAndField(t *testing.T) {
	for _, x := range []struct{ from, to, want string }{
		{"format = 1", "format = 2", "p.toml:1:10: RANGE: format"},
		{"format = 1", "", "format = 1 expected"},
		{"[[cases]]", "[[case]]", "[[cases]] expected"},
		{"271", "0.5", "p.toml:4:19: RANGE: cases[1].rate_per_second"},
		{"rate_per_second = 271", "", "cases[1].rate_per_second"},
		{"271", "271\n[sidecar]\nobjective = \"3s\"\ndeadline = \"2s\"", "sidecar.objective"},
		{"271", "271\nhops = 17", "p.toml:5:8: RANGE: cases[1].hops"},
		{"271", "271\nrounds = 2", "cases[1].rounds"},
		{"271", "271\nrounds = 100\ncycles = 100", "load of 11h6m44s found, at most 15m0s expected"},
		{"format = 1", "format = 1\nspacing = \"bursts\"", "p.toml:2:11: WORD: spacing"},
		{"format = 1", "format = 1\nsegments = \"1s\"", "p.toml:2:1"},
	} {
		_, err := ReadPlan("p.toml", []byte(strings.Replace(smallPlan, x.from, x.to, 1)))
		if err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%q: got error %v, want %s", x.to, err, x.want)
		}
	}
}

// The committed plan is valid, and its load takes less than three minutes.
func TestCommittedPlan(t *testing.T) {
	const name = "../../../deploy/scale/latency.toml"
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	p, err := ReadPlan(name, data)
	if err != nil {
		t.Fatal(err)
	}
	var total time.Duration
	for i := range p.Cases {
		total += p.Cases[i].duration(p)
	}
	if total > 170*time.Second {
		t.Errorf("load of %v, want at most 170s", total)
	}
}

func FuzzReadPlan(f *testing.F) {
	f.Add([]byte(smallPlan))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := ReadPlan("p.toml", data)
		if err == nil && (len(p.Cases) == 0 || p.Cases[0].duration(p) > MaxDuration) {
			t.Errorf("accepted an invalid plan: %+v", p)
		}
	})
}
