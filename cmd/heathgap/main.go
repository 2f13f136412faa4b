// Command heathgap is one sidecar: the load balancer of one caller.
package main

import (
	"os"

	"heathgap/internal/lifecycle"
)

func main() { os.Exit(lifecycle.Main()) }
