//go:build race

package rollout_test

// With the race detector the programs under test have it too. It takes five to ten times the
// memory.
const (
	raceEnabled = true
	raceMemory  = 10
)
