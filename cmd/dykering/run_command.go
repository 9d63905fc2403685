package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"dykering/internal/sidecar"
)

// files are the flags that name what a process is told.
type files struct{ platform, operator string }

func (f *files) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "the platform's JSON file, in place of BALANCER_CONFIG", Destination: &f.platform, TakesFile: true},
		&cli.StringFlag{Name: "operator", Usage: "the operator's TOML file; without it the defaults hold", Destination: &f.operator, TakesFile: true},
	}
}

// getenv is the environment, with what the flags say of it.
func (f *files) getenv(name string) string {
	if name == "BALANCER_CONFIG" && f.platform != "" {
		return f.platform
	}
	return os.Getenv(name)
}

func newRun() *cli.Command {
	var f files
	return &cli.Command{
		Name: "run", Usage: "Serve until SIGTERM", Flags: f.flags(),
		Action: action(func(*cli.Command) error { return f.run() }),
	}
}

func (f *files) run() error { return sidecar.Main(f.getenv, f.operator) }
