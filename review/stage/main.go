// Command stage plays one case: it starts the project's program as separate processes, stands in
// for clients, backends and the discovery agent, and judges what they have seen.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE DIR")
		os.Exit(2)
	}
	cases := map[string]func(w *World, trouble bool) []string{"nolength": noLength, "cutoff": cutOff, "shortlength": shortLength}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	theWorld = w
	trouble := os.Getenv("TROUBLE") != "0"
	broken := play(w, trouble)
	w.endAll()
	for _, line := range broken {
		w.log("BROKEN   %s", line)
		fmt.Println("BROKEN", line)
	}
	fmt.Printf("%d broken, trouble %v\n", len(broken), trouble)
	if len(broken) > 0 {
		os.Exit(1)
	}
}
