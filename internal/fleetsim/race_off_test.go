//go:build !race

package fleetsim

const raceOn = false
