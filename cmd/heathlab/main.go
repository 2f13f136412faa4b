// Command heathlab runs scenarios: real sidecars with fake endpoints and a fake discovery on loopback, under load and
// faults, and a checker that verifies the rules.
package main

import (
	"os"

	"heathgap/internal/labcommand"
)

func main() { os.Exit(labcommand.Heathlab(os.Args[1:], os.Stdout, os.Stderr)) }
