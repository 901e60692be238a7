// Command simhost runs many balancers on the simulator's wire: events on standard input, actions on
// standard output, each a line of JSON. It decodes and encodes; every decision is made in package
// logic.
//
// The simulator sends events in batches: a mark with the time, events, and your_turn. The program
// answers a batch with the actions that its events have led to, in their order, and done. JSON keys
// are the simulator's words; the names beside them in Go are the field's.
//
// It exits with 0 when the input ends, and with 1 at the first line that it can't read for certain.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		os.Exit(1)
	}
}
