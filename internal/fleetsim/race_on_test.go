//go:build race

package fleetsim

const raceEnabled = true // days take ten times as long
