package harness_test

import (
	"os"
	"path/filepath"
	"testing"

	"fernlanding/internal/harness/scenario"
)

// maxConcurrent is how many scenarios run at the same time.
const maxConcurrent = 3

// The checks and each scenario's bounds hold at starts with something wrong, and while sites are
// killed, stopped or cut off.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts some hundred processes")
	}
	files, err := filepath.Glob("../../deploy/rig/[hs]*/*.toml")
	if err != nil || len(files) < 15 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	slots := make(chan struct{}, maxConcurrent)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		spec, err := scenario.Read(file, text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(spec.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			verdicts, figures := runScenario(t, spec, options(program))
			for _, verdict := range verdicts {
				t.Error(verdict)
			}
			t.Logf("%d asked, %.0f served, losses %+v", figures.Requests, figures.Served, figures.Losses)
			if figures.Requests < 200 {
				t.Errorf("%d requests: the run shows nothing\n%s", figures.Requests, scenario.Text(spec.Schedule()))
			}
		})
	}
}
