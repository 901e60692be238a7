//go:build !race

package rollout_test

const (
	raceEnabled = false
	raceMemory  = 1
)
