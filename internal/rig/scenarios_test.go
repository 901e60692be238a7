package rig_test

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	"fernlanding/internal/rig/scenario"
)

// Starts that something is wrong with, and sites that are killed, stopped or cut off: the rules hold, and each scenario's bounds.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts some hundred processes")
	}
	files, err := filepath.Glob("../../deploy/rig/[hs]*/*.toml")
	if err != nil || len(files) < 15 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	together := make(chan struct{}, 3)
	var all sync.WaitGroup
	for _, file := range files {
		all.Go(func() {
			together <- struct{}{}
			defer func() { <-together }()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Error(err)
				return
			}
			sc, err := scenario.Read(file, text)
			if err != nil {
				t.Error(err)
				return
			}
			verdicts, f := play(t, sc, options(program))
			for _, v := range verdicts {
				t.Errorf("%s: %s", sc.Name, v)
			}
			t.Logf("%s: %d asked, %.0f served, losses %+v", sc.Name, f.Asked, f.Served, f.Losses)
			if f.Asked < 200 {
				t.Errorf("%s: %d requests: the run shows nothing\n%s", sc.Name, f.Asked, scenario.Text(sc.Schedule()))
			}
		})
	}
	all.Wait()
}
