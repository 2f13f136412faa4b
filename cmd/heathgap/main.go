// Command heathgap is one sidecar: the load balancer of one caller.
//
// With arguments it becomes heathgap-cli, which stands beside it. The parser of
// the command line keeps the linker from dropping code, 7 MB of it, of which a
// sidecar would have 2.5 MB mapped; so it is no part of this program.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"heathgap/internal/lifecycle"
)

func main() {
	if len(os.Args) > 1 {
		fmt.Fprintln(os.Stderr, becomeCLI())
		os.Exit(1)
	}
	os.Exit(lifecycle.Process())
}

// becomeCLI returns only if it fails.
func becomeCLI() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cli := filepath.Join(filepath.Dir(self), "heathgap-cli")
	err = syscall.Exec(cli, os.Args, os.Environ())
	return fmt.Errorf("%s: %w; commands need it beside heathgap (README.md, Build and start)", cli, err)
}
