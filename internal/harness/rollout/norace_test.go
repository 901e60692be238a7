//go:build !race

package rollout_test

// Constants for tests without the race detector.
const (
	raceEnabled = false
	raceMemory  = 1
)
