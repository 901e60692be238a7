//go:build race

package rollout_test

// Constants for tests with the race detector. The programs under test are also built with the race
// detector, which needs five to ten times the memory.
const (
	raceEnabled = true
	raceMemory  = 10
)
