//go:build race

package fleetsim

const raceOn = true // days take ten times as long
