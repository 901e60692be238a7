// Command simhost runs many balancers for a simulator. It reads events from standard input and
// writes actions to standard output, each as one line of JSON. It only decodes and encodes: package
// logic makes every decision.
//
// The simulator sends events in batches. A batch is a mark with the time, any number of events, and
// your_turn. The program responds to a batch with the actions that the events caused, in their
// order, and done. The JSON keys are defined by the simulator; the Go names beside them are the
// usual terms of the field.
//
// It exits with 0 when the input ends, and with 1 at the first line that is not valid.
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
