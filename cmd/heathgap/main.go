// Command heathgap is one sidecar: the load balancer of one caller.
package main

import (
	"os"

	"heathgap/internal/command"
)

func main() { os.Exit(command.Heathgap(os.Args[1:], os.Stdout, os.Stderr)) }
