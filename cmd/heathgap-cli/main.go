// Command heathgap-cli is the command line of heathgap, which starts it when it
// is given arguments.
package main

import (
	"os"

	"heathgap/internal/command"
)

func main() { os.Exit(command.Heathgap(os.Args[1:], os.Stdout, os.Stderr)) }
