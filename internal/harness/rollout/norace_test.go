//go:build !race

package rollout_test

// Without the race detector.
const (
	raceEnabled = false
	raceMemory  = 1
)
