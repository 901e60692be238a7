//go:build race

package fleetsim

const raceEnabled = true // simulations take ten times as long
