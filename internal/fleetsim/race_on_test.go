//go:build race

package fleet

const raceOn = true // days take ten times as long
