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
	ExitFailure = 1 // the command failed, or found errors in its input
	ExitUsage   = 2 // the command line is invalid
)

// failure marks an error that occurred while a command ran.
type failure struct{ error }

// Unwrap returns the marked error.
func (f failure) Unwrap() error { return f.error }

// Failure marks an error that occurred while a command ran, so that Run returns ExitFailure. Run treats an unmarked error as
// a usage error. Failure returns nil for nil.
func Failure(err error) error {
	if err == nil {
		return nil
	}
	return failure{err}
}

// Run runs a command line, prints its error to errOut and returns the exit code. Each line of the error is prefixed with the
// program's name. A usage error is followed by a reference to --help.
func Run(ctx context.Context, root *cli.Command, args []string, out, errOut io.Writer) int {
	root.Writer, root.ErrWriter = out, errOut
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {} // the library's handler would print the error a second time
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

// MissingCommand is the action of a command that only has subcommands. It prints the help to the error output and returns a
// usage error.
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

// forEachCommand calls visit for a command and all its subcommands.
func forEachCommand(command *cli.Command, visit func(*cli.Command)) {
	visit(command)
	for _, subcommand := range command.Commands {
		forEachCommand(subcommand, visit)
	}
}

// usageError writes an unknown flag with two dashes. The library writes it with one.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.New(strings.Replace(err.Error(), "not defined: -", "not defined: --", 1))
}

// NoArgs returns an action that rejects arguments and otherwise calls work.
func NoArgs(work func(ctx context.Context, command *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if command.Args().Present() {
			return errors.Errorf("%s: unknown argument %q", command.Name, command.Args().First())
		}
		return work(ctx, command)
	}
}

// Args returns an action that calls work with the command's arguments. It rejects fewer than least and more than most
// arguments. A negative most sets no upper bound.
func Args(least, most int, work func(ctx context.Context, command *cli.Command, args []string) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		args := command.Args().Slice()
		if len(args) < least || most >= 0 && len(args) > most {
			return errors.Errorf("%s: %s, received %d", command.Name, expectation(least, most), len(args))
		}
		return work(ctx, command, args)
	}
}

// expectation describes how many arguments a command takes.
func expectation(least, most int) string {
	switch {
	case most < 0:
		return fmt.Sprintf("requires at least %d arg(s)", least)
	case least == most:
		return fmt.Sprintf("accepts %d arg(s)", least)
	}
	return fmt.Sprintf("accepts %d to %d arg(s)", least, most)
}
