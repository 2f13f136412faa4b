// Command heathgap-cli is the command line of heathgap. bin/heathgap replaces itself with it when it is started with
// arguments.
package main

import (
	"os"

	"heathgap/internal/command"
)

func main() { os.Exit(command.Heathgap(os.Args[1:], os.Stdout, os.Stderr)) }
