package labcommand

import (
	"os"

	"github.com/rs/zerolog"

	"heathgap/internal/command"
	"heathgap/internal/lab/emulated"
)

// labHollow is the hidden command `heathlab hollow`: a process of emulated members of a cluster, started by `heathlab
// scale`.
type labHollow struct{}

// Run reads from standard input what to start and what to do, and ends when standard input does. It reports on standard
// output, and logs the members' warnings to standard error.
func (c *labHollow) Run(o *command.Out) error {
	return emulated.Run(os.Stdin, o, zerolog.New(os.Stderr).Level(zerolog.WarnLevel).With().Timestamp().Logger())
}
