// Command heathgap is one sidecar: the load balancer of one caller.
//
// Started with arguments, it replaces itself with heathgap-cli from the same folder. The command line's parser is not
// part of this program because it keeps the linker from dropping 7 MB of code, of which a sidecar would have 2.5 MB
// mapped.
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

// becomeCLI replaces this process with heathgap-cli. It returns only if that fails.
func becomeCLI() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cli := filepath.Join(filepath.Dir(self), "heathgap-cli")
	err = syscall.Exec(cli, os.Args, os.Environ())
	return fmt.Errorf("%s: %w; commands need it beside heathgap (README.md, Build and start)", cli, err)
}
