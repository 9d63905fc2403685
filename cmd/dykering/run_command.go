package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"dykering/internal/sidecar"
)

// files are the flags that name what a process is told.
type inputFiles struct{ platformFile, operatorFile string }

func (f *inputFiles) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "the platform's JSON file, in place of BALANCER_CONFIG", Destination: &f.platformFile, TakesFile: true},
		&cli.StringFlag{Name: "operator", Usage: "the operator's TOML file; without it the defaults hold", Destination: &f.operatorFile, TakesFile: true},
	}
}

// getenv is the environment, with what the flags say of it.
func (f *inputFiles) getenv(name string) string {
	if name == "BALANCER_CONFIG" && f.platformFile != "" {
		return f.platformFile
	}
	return os.Getenv(name)
}

func newRun() *cli.Command {
	var f inputFiles
	return &cli.Command{
		Name: "run", Usage: "Serve until SIGTERM", Flags: f.flags(),
		Action: action(func(*cli.Command) error { return f.run() }),
	}
}

func (f *inputFiles) run() error { return sidecar.Main(f.getenv, f.operatorFile) }
