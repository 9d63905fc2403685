package commandline

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1 // the command could not do its work, or found errors in what it was given
	ExitUsage   = 2 // the command line is wrong
)

// failure marks an error of a command's work.
type failure struct{ error }

// Unwrap returns the error without the mark.
func (f failure) Unwrap() error { return f.error }

// Failure marks an error as one of a command's work, so that Run returns ExitFailure; an error without the mark is one of
// the command line. Failure of nil is nil.
func Failure(err error) error {
	if err == nil {
		return nil
	}
	return failure{err}
}

// Run runs a command line, prints its error to errOut and returns the exit code. Each line of the error follows the
// program's name; an error of the command line is followed by a hint at the help.
func Run(ctx context.Context, root *cli.Command, args []string, out, errOut io.Writer) int {
	root.Writer, root.ErrWriter = out, errOut
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {} // the library's would print the error too
	root.HideVersion = true
	root.Action = MissingCommand
	forEachCommand(root, func(command *cli.Command) { command.OnUsageError = usageError })
	err := root.Run(ctx, append([]string{root.Name}, args...))
	if err == nil {
		return ExitOK
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		fmt.Fprintln(errOut, root.Name+": "+line)
	}
	if errors.As(err, new(failure)) {
		return ExitFailure
	}
	fmt.Fprintln(errOut, root.Name+": see "+root.Name+" --help")
	return ExitUsage
}

// MissingCommand is the action of a command that only groups others. It prints the help to the error output and returns
// an error of the command line.
func MissingCommand(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return errors.Errorf("unknown command %q", command.Args().First())
	}
	command.Root().Writer = command.Root().ErrWriter
	if err := cli.ShowAppHelp(command); err != nil {
		return err
	}
	return errors.New("a command is missing")
}

// forEachCommand calls visit with a command and all below it.
func forEachCommand(command *cli.Command, visit func(*cli.Command)) {
	visit(command)
	for _, subcommand := range command.Commands {
		forEachCommand(subcommand, visit)
	}
}

// usageError names an unknown flag with two dashes, as it is written; the library names it with one.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.New(strings.Replace(err.Error(), "not defined: -", "not defined: --", 1))
}

// NoArgs returns the action of a command that takes no arguments; work does what the command is for.
func NoArgs(work func(ctx context.Context, command *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if command.Args().Present() {
			return errors.Errorf("%s: unknown argument %q", command.Name, command.Args().First())
		}
		return work(ctx, command)
	}
}

// Args returns the action of a command that takes from least to most arguments; there is no upper bound if most is
// negative. work does what the command is for.
func Args(least, most int, work func(ctx context.Context, command *cli.Command, args []string) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		args := command.Args().Slice()
		if len(args) < least || most >= 0 && len(args) > most {
			return errors.Errorf("%s: %s, received %d", command.Name, expectation(least, most), len(args))
		}
		return work(ctx, command, args)
	}
}

// expectation says how many arguments a command takes.
func expectation(least, most int) string {
	switch {
	case most < 0:
		return fmt.Sprintf("requires at least %d arg(s)", least)
	case least == most:
		return fmt.Sprintf("accepts %d arg(s)", least)
	}
	return fmt.Sprintf("accepts %d to %d arg(s)", least, most)
}
