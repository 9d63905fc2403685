package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/model"
	"dykering/internal/lab/real"
	"dykering/internal/lab/scenario"
	"dykering/internal/validation"
)

// brokerCommand returns the command line that starts the broker: the given program, or the broker that is built into this program.
func brokerCommand(program string) ([]string, error) {
	if program != "" {
		return []string{program, "run"}, nil
	}
	self, err := os.Executable()
	return []string{self, "broker"}, err
}

// loadScenario reads the scenario file, or returns the built-in scenario if no file is given.
func loadScenario(args []string) (*scenario.Scenario, error) {
	if len(args) == 0 {
		return scenario.Default(), nil
	}
	s, wrong := scenario.Load(args[0])
	if err := validation.Join(wrong); err != nil {
		return nil, commandline.Failure(err)
	}
	return s, nil
}

func newReal() *cli.Command {
	var seed uint64
	var program, dir string
	var asJSON bool
	c := &cli.Command{
		Name: "real", ArgsUsage: "[FILE]", Usage: "Play a scenario with processes of the broker on loopback sockets",
		Action: commandline.Args(0, 1, func(ctx context.Context, c *cli.Command, args []string) error {
			s, err := loadScenario(args)
			if err != nil {
				return err
			}
			command, err := brokerCommand(program)
			if err != nil {
				return err
			}
			logs := dir
			if logs == "" {
				if logs, err = os.MkdirTemp("", "dykering-lab-"); err != nil {
					return err
				}
			}
			began := time.Now()
			r, err := real.Play(ctx, s, seed, real.Options{Command: command, Dir: logs})
			if err != nil {
				return commandline.Failure(fmt.Errorf("%w\nlogs are under %s", err, logs))
			}
			j := &job{Policy: "processes", Result: r, Took: time.Since(began)}
			err = report(c.Root().Writer, []*job{j}, asJSON, j.Took)
			if len(r.ViolationCounts) > 0 {
				return commandline.Failure(fmt.Errorf("%s\nlogs are under %s", violations(r), logs))
			}
			if dir == "" {
				err = errors.Join(err, os.RemoveAll(logs))
			}
			return err
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the seed", Destination: &seed},
		&cli.StringFlag{Name: "broker", Usage: "the broker's program (default: the built-in broker)", Destination: &program},
		&cli.StringFlag{Name: "logs", Usage: "a folder for logs and configurations; without it they are kept only if the run fails", Destination: &dir},
		&cli.BoolFlag{Name: "json", Usage: "one line of JSON", Destination: &asJSON},
	}
	return c
}

// violations formats the first violations of a run, each with the history of its request.
func violations(r *model.Result) (text string) {
	text = fmt.Sprintf("rules were violated: %v", r.ViolationCounts)
	for _, v := range r.Violations[:min(len(r.Violations), 5)] {
		text += fmt.Sprintf("\n%s, request %s, at %.3f s: %s", v.Rule, v.Request, (v.At - model.Origin).Seconds(), v.Text)
		for _, line := range v.History {
			text += "\n    " + line
		}
	}
	return text
}
