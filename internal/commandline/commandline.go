// Package commandline runs the command lines of the project's programs: their exit codes, and how errors are told.
package commandline

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	ExitOK    = 0
	ExitFault = 1 // something is wrong with what it was given, or it could not run
	ExitUsage = 2 // the command line is wrong
)

// fault marks an error as one of the work, not of the command line.
type fault struct{ error }

func (f fault) Unwrap() error { return f.error }

// Fault marks an error as one of the work, not of the command line; nil stays nil.
func Fault(err error) error {
	if err == nil {
		return nil
	}
	return fault{err}
}

// Run runs a command line, tells its error on errOut and returns the exit code.
func Run(ctx context.Context, root *cli.Command, args []string, out, errOut io.Writer) int {
	root.Writer, root.ErrWriter = out, errOut
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {} // told below
	root.HideVersion = true
	root.Action = MissingCommand
	eachCommand(root, func(c *cli.Command) { c.OnUsageError = usageError })
	err := root.Run(ctx, append([]string{root.Name}, args...))
	if err == nil {
		return ExitOK
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		fmt.Fprintln(errOut, root.Name+": "+line)
	}
	if errors.As(err, new(fault)) {
		return ExitFault
	}
	fmt.Fprintln(errOut, root.Name+": see "+root.Name+" --help")
	return ExitUsage
}

// MissingCommand is the action of a command that only groups others: it tells that one of them is missing or unknown.
func MissingCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return errors.Errorf("unknown command %q", c.Args().First())
	}
	c.Root().Writer = c.Root().ErrWriter
	if err := cli.ShowAppHelp(c); err != nil {
		return err
	}
	return errors.New("a command is missing")
}

// eachCommand does something to a command and those below it.
func eachCommand(c *cli.Command, do func(*cli.Command)) {
	do(c)
	for _, sub := range c.Commands {
		eachCommand(sub, do)
	}
}

// usageError names a flag as it is written.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.New(strings.Replace(err.Error(), "not defined: -", "not defined: --", 1))
}

// NoArgs is the action of a command that takes no arguments.
func NoArgs(work func(ctx context.Context, c *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Args().Present() {
			return errors.Errorf("%s: unknown argument %q", c.Name, c.Args().First())
		}
		return work(ctx, c)
	}
}

// Args is the action of a command that takes from least to most arguments; most below 0 is no bound.
func Args(least, most int, work func(ctx context.Context, c *cli.Command, args []string) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		args := c.Args().Slice()
		if len(args) < least || most >= 0 && len(args) > most {
			return errors.Errorf("%s: %s, received %d", c.Name, expectation(least, most), len(args))
		}
		return work(ctx, c, args)
	}
}

func expectation(least, most int) string {
	switch {
	case most < 0:
		return fmt.Sprintf("requires at least %d arg(s)", least)
	case least == most:
		return fmt.Sprintf("accepts %d arg(s)", least)
	}
	return fmt.Sprintf("accepts %d to %d arg(s)", least, most)
}
