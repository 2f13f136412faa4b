package member

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/lifecycle"
	"heathgap/internal/operator"
)

// Process runs a sidecar as a member of the cluster in its operator's file, and returns the process's exit code.
func Process() int {
	file, err := operator.FromEnv(os.Getenv)
	if err == nil && file.Cluster == nil {
		err = fmt.Errorf("%s: no table [crew]; bin/heathgap serves without one", os.Getenv(operator.EnvFile))
	}
	if err != nil {
		log := zerolog.New(os.Stderr).With().Timestamp().Logger()
		log.Error().Err(err).Msg("bad operator's file")
		return 1
	}
	// With SIGXFSZ ignored, reaching the limit on file sizes is a failed write, as on a full disk: the voter stops, and the sidecar
	// goes on.
	signal.Ignore(syscall.SIGXFSZ)
	return lifecycle.Main(lifecycle.Options{Operator: file, Cluster: JoinFunc(*file.Cluster)})
}

// JoinFunc returns a function that makes a sidecar a member of the cluster in a table of the operator's file.
func JoinFunc(table operator.Cluster) func(*config.Config, env.Env, zerolog.Logger) (lifecycle.Cluster, error) {
	return func(conf *config.Config, environment env.Env, log zerolog.Logger) (lifecycle.Cluster, error) {
		m, err := Start(table, conf, environment, log)
		if err != nil {
			return nil, err
		}
		return m, nil
	}
}
