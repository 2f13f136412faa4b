// Command simhost serves heathgap's decision module to the simulator on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"heathgap/simwire"
)

// gcPercent is how many percent the heap may grow between garbage collections. The live heap is a
// few megabytes, and the CPU time of collections counts against the result.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simwire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
