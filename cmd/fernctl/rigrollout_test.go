package main

import (
	"os"
	"path/filepath"
	"testing"
)

// A scenario is listed without being run. An invalid one is rejected with the place of the problem,
// and so is an invalid call.
func TestRigRolloutList(t *testing.T) {
	const small = "../../deploy/rig/rollout/small.toml"
	expect(t, 0, "4 zone relays in 2 zones, 40 followers in 2 processes", "rig", "rollout", "-list", small)
	expect(t, 0, "seed 7", "rig", "rollout", "-list", "-seed", "7", "../../deploy/rig/rollout/full.toml")
	expect(t, 2, "FILE expected", "rig", "rollout")
	expect(t, 2, "1 to 10000 seeds", "rig", "rollout", "-relay", small, "-seeds", "0", small)
	expect(t, 2, "the program under test", "rig", "rollout", "-relay", "no/such/program", small)
	file := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(file, []byte("name = \"x\"\n[relays]\nregion = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 2, file+":3:1", "rig", "rollout", "-list", file)
}
