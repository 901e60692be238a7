package harness_test

import (
	"os"
	"path/filepath"
	"testing"

	"fernlanding/internal/harness/scenario"
)

// maxConcurrent is the number of scenarios that run at the same time.
const maxConcurrent = 3

// All checks pass and all bounds hold in the scenarios of faulty starts and of sites that are
// killed, stopped or disconnected.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts some hundred processes")
	}
	files, err := filepath.Glob("../../deploy/rig/[hs]*/*.toml")
	if err != nil || len(files) < 15 {
		t.Fatalf("got %d scenario files and error %v, want at least 15 files", len(files), err)
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
			t.Logf("%d requests, %.0f served, losses %+v", figures.Requests, figures.Served, figures.Losses)
			if figures.Requests < 200 {
				t.Errorf("%d requests, too few for a meaningful run\n%s",
					figures.Requests, scenario.Text(spec.Schedule()))
			}
		})
	}
}
