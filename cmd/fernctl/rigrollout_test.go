package main

import (
	"os"
	"path/filepath"
	"testing"
)

// -list prints a scenario without running the scenario. An invalid scenario is rejected with the
// position of the error, and an invalid command line is rejected with the cause.
func TestRigRolloutList(t *testing.T) {
	const small = "../../deploy/rig/rollout/small.toml"
	expect(t, 0, "4 zone relays in 2 zones, 40 followers in 2 processes", "rig", "rollout", "-list", small)
	expect(t, 0, "seed 7", "rig", "rollout", "-list", "-seed", "7", "../../deploy/rig/rollout/full.toml")
	expect(t, 2, "got 0 arguments, want FILE", "rig", "rollout")
	expect(t, 2, "-seeds must be between 1 and 10000", "rig", "rollout", "-relay", small, "-seeds", "0", small)
	expect(t, 2, "rig rollout: program under test", "rig", "rollout", "-relay", "no/such/program", small)
	file := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(file, []byte("name = \"x\"\n[relays]\nregion = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 2, file+":3:1", "rig", "rollout", "-list", file)
}
