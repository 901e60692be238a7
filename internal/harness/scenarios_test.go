package harness_test

import (
	"os"
	"path/filepath"
	"testing"

	"fernlanding/internal/harness/scenario"
)

// atOnce is how many scenarios are played beside each other.
const atOnce = 3

// Starts that something is wrong with, and sites that are killed, stopped or cut off: the rules hold, and each scenario's bounds.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts some hundred processes")
	}
	files, err := filepath.Glob("../../deploy/rig/[hs]*/*.toml")
	if err != nil || len(files) < 15 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	together := make(chan struct{}, atOnce)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		sc, err := scenario.Read(file, text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(sc.Name, func(t *testing.T) {
			t.Parallel()
			together <- struct{}{}
			defer func() { <-together }()
			verdicts, f := play(t, sc, options(program))
			for _, v := range verdicts {
				t.Error(v)
			}
			t.Logf("%d asked, %.0f served, losses %+v", f.Asked, f.Served, f.Losses)
			if f.Asked < 200 {
				t.Errorf("%d requests: the run shows nothing\n%s", f.Asked, scenario.Text(sc.Schedule()))
			}
		})
	}
}
