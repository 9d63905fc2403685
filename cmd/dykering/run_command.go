package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"dykering/internal/sidecar"
)

// inputFiles holds the flags with the paths of the process's files.
type inputFiles struct{ platformFile, operatorFile string }

func (f *inputFiles) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "path of the platform's JSON file; overrides BALANCER_CONFIG", Destination: &f.platformFile, TakesFile: true},
		&cli.StringFlag{Name: "operator", Usage: "path of the operator's TOML file; without it the defaults apply", Destination: &f.operatorFile, TakesFile: true},
	}
}

// getenv looks up an environment variable, with the value of --config in place of BALANCER_CONFIG.
func (f *inputFiles) getenv(name string) string {
	if name == "BALANCER_CONFIG" && f.platformFile != "" {
		return f.platformFile
	}
	return os.Getenv(name)
}

func newRun() *cli.Command {
	var f inputFiles
	return &cli.Command{
		Name: "run", Usage: "Run the sidecar until SIGTERM", Flags: f.flags(),
		Action: action(func(*cli.Command) error { return f.run() }),
	}
}

func (f *inputFiles) run() error { return sidecar.Main(f.getenv, f.operatorFile) }
