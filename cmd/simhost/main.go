// Command simhost runs heathgap's decision module behind the simulator's wire
// on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"heathgap/simwire"
)

// gcPercent lets the heap grow this many percent between collections: the live
// heap is a few megabytes, and collections are billed as CPU time.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simwire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
