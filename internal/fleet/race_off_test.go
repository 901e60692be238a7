//go:build !race

package fleet

const raceOn = false
