// Package command is heathgap's command line.
package command

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"heathgap/internal/config"
	"heathgap/internal/lifecycle"
	"heathgap/internal/operator"
)

// Exit codes.
const (
	ExitFailed = 1 // what was asked for failed, or a file is faulty
	ExitUsage  = 2 // the command line itself is faulty
)

// heathgap is the command line of the sidecar.
type heathgap struct {
	Serve   serve   `cmd:"" default:"withargs" help:"Run one sidecar, told by BALANCER_CONFIG; without any command, this one."`
	Check   check   `cmd:"" help:"Tell all that is wrong with files, and start nothing."`
	Version version `cmd:"" help:"Tell which build this is."`
}

// out is where a command writes, and the exit code it leaves.
type out struct {
	io.Writer
	code int
}

// Heathgap runs the command line of bin/heathgap and returns the exit code.
// Without arguments it is a sidecar at once: the parser takes no memory there.
func Heathgap(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		return lifecycle.Main(lifecycle.Options{Operator: operator.Default()})
	}
	return Run(&heathgap{}, "heathgap", "The load balancer of one caller.", args, stdout, stderr)
}

// Run parses a command line and runs the command it names.
func Run(cli any, name, about string, args []string, stdout, stderr io.Writer) int {
	ended := -1 // the exit code, once help has been printed
	o := &out{Writer: stdout}
	parser, err := kong.New(cli, kong.Name(name), kong.Description(about), kong.UsageOnError(),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { ended = code }), kong.BindTo(o, (*io.Writer)(nil)), kong.Bind(o))
	if err != nil {
		panic(err) // the declaration of the commands is wrong
	}
	ctx, err := parser.Parse(args)
	if ended >= 0 {
		return ended
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return o.code
}

type serve struct {
	Operator string `placeholder:"FILE" help:"The operator's file (TOML). Without it, nothing is on but what BALANCER_CONFIG says."`
}

// Run runs a sidecar until it is told to stop.
func (c *serve) Run(o *out) error {
	opts := lifecycle.Options{Operator: operator.Default()}
	if c.Operator != "" {
		var err error
		if opts.Operator, err = operator.Load(c.Operator); err != nil {
			return err
		}
	}
	o.code = lifecycle.Main(opts)
	return nil
}

type check struct {
	Files []string `arg:"" name:"file" help:"An operator's file (.toml) or a sidecar's configuration (.json)."`
}

// Run tells of each file what is wrong with it.
func (c *check) Run(o *out) error {
	var faults []error
	for _, path := range c.Files {
		if err := checkFile(path); err != nil {
			faults = append(faults, err)
			continue
		}
		fmt.Fprintf(o, "%s: good\n", path)
	}
	return errors.Join(faults...)
}

func checkFile(path string) error {
	switch filepath.Ext(path) {
	case ".toml":
		_, err := operator.Load(path)
		return err
	case ".json":
		return config.Check(path)
	}
	return fmt.Errorf("%s: unknown kind of file; allowed: .toml, .json", path)
}

type version struct{}

// Run tells the build's revision, as far as the build knows it.
func (version) Run(o *out) error {
	revision, changed, goVersion := "unknown", "", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = " (changed since)"
			}
		}
	}
	fmt.Fprintf(o, "heathgap %s%s, %s\n", revision, changed, goVersion)
	return nil
}
