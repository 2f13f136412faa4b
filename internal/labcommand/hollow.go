package labcommand

import (
	"os"

	"github.com/rs/zerolog"

	"heathgap/internal/command"
	"heathgap/internal/lab/emulated"
)

// labHollow is a process of hollow members of a crew, which a run of `scale` starts.
type labHollow struct{}

// Run is told on standard input what to start and what to do, and ends with it; it says what comes of that on standard output.
// The members' warnings go to standard error.
func (c *labHollow) Run(o *command.Out) error {
	return emulated.Run(os.Stdin, o, zerolog.New(os.Stderr).Level(zerolog.WarnLevel).With().Timestamp().Logger())
}
