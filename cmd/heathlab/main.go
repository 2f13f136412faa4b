// Command heathlab plays scenarios: real sidecars between stand-ins on loopback,
// under load and faults, with a book that checks the rules.
package main

import (
	"os"

	"heathgap/internal/labcommand"
)

func main() { os.Exit(labcommand.Heathlab(os.Args[1:], os.Stdout, os.Stderr)) }
