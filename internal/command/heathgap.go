// Package command implements the command line of heathgap, and the parts of it that other programs' command lines use.
package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"heathgap/internal/config"
	"heathgap/internal/operator"
)

// Exit codes.
const (
	ExitFailed = 1 // the command failed or was refused, or a file is faulty
	ExitUsage  = 2 // the command line itself is faulty
)

// commandLine declares the commands of heathgap.
type commandLine struct {
	Serve    serve            `cmd:"" default:"withargs" help:"Run one sidecar, configured by the file that BALANCER_CONFIG names. This is the default command."`
	Check    check            `cmd:"" help:"Report what is wrong with files, and start nothing."`
	Crew     clusterCommands  `cmd:"" help:"Query the crew that an operator's file names, and change its rules."`
	Holdings holdingsCommands `cmd:"" help:"Query what the sidecars of a crew hold for one another."`
	Version  version          `cmd:"" help:"Show which build this is."`
}

// Out is the output of a command. kong passes it to each Run method.
type Out struct{ io.Writer }

// Heathgap runs the command line of bin/heathgap and returns the exit code.
func Heathgap(args []string, stdout, stderr io.Writer) int {
	return Run(&commandLine{}, "heathgap", "The load balancer of one caller.", args, stdout, stderr)
}

// Run parses a command line and runs the command it names.
func Run(cli any, name, about string, args []string, stdout, stderr io.Writer) int {
	exitCode := -1 // the exit code once kong has printed the help; below 0 before
	o := &Out{stdout}
	parser, err := kong.New(cli, kong.Name(name), kong.Description(about), kong.UsageOnError(),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { exitCode = code }),
		kong.Bind(o))
	if err != nil {
		panic(err) // the declaration of the commands is wrong
	}
	ctx, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return 0
}

type serve struct {
	Operator string `placeholder:"FILE" help:"The operator's file (TOML). Without it, all that the file configures is off or at its default."`
}

// Run checks the operator's file and replaces this process with the sidecar (exec), so that signals reach the sidecar.
func (c *serve) Run() error {
	path, env, err := c.sidecarProgram(os.Executable)
	if err != nil {
		return err
	}
	return fmt.Errorf("%s: %w", path, syscall.Exec(path, []string{path}, env))
}

// sidecarProgram returns the path of the sidecar's program, which is in the same folder as this one, and its
// environment.
func (c *serve) sidecarProgram(executable func() (string, error)) (path string, env []string, err error) {
	env, program := os.Environ(), "heathgap"
	if c.Operator != "" {
		file, err := operator.Load(c.Operator)
		if err != nil {
			return "", nil, err
		}
		if file.Cluster != nil {
			program = "heathgap-crew"
		}
		env = append(env, operator.EnvFile+"="+c.Operator)
	}
	self, err := executable()
	if err != nil {
		return "", nil, err
	}
	return filepath.Join(filepath.Dir(self), program), env, nil
}

type check struct {
	Files []string `arg:"" name:"file" help:"An operator's file (.toml) or a sidecar's configuration (.json)."`
}

// Run checks each file. It reports all faults of an operator's file, but only the first one of a sidecar's configuration.
func (c *check) Run(o *Out) error { return CheckAll(o, c.Files, checkFile) }

// CheckAll checks each file, prints those that are good and returns the errors of all others.
func CheckAll(o *Out, paths []string, check func(path string) error) error {
	var faults []error
	for _, path := range paths {
		if err := check(path); err != nil {
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

// Run prints the build's revision and Go version as far as the build records them.
func (version) Run(o *Out) error {
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
