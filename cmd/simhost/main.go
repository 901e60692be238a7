// Command simhost runs many balancers on the simulator's wire: events on standard input, actions on
// standard output. It decodes and encodes; every decision is made in package logic.
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
