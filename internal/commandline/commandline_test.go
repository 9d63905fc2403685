package commandline

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func TestCommandline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command lines")
}

var _ = DescribeTable("a command line",
	func(args []string, code int, message string) {
		done := func(context.Context, *cli.Command, []string) error { return nil }
		root := &cli.Command{Name: "program", Commands: []*cli.Command{
			{Name: "one", Action: Args(1, 1, done), Flags: []cli.Flag{&cli.IntFlag{Name: "size"}}},
			{Name: "some", Action: Args(0, 2, done)},
			{Name: "many", Action: Args(1, -1, done)},
			{Name: "none", Action: NoArgs(func(context.Context, *cli.Command) error { return nil })},
			{Name: "broken", Action: NoArgs(func(context.Context, *cli.Command) error { return Failure(errors.New("two\nlines")) })},
			{Name: "group", Action: MissingCommand, Commands: []*cli.Command{{Name: "member"}}},
		}}
		var out, errOut bytes.Buffer
		Expect(Run(context.Background(), root, args, &out, &errOut)).To(Equal(code), errOut.String())
		Expect(errOut.String()).To(ContainSubstring(message))
	},
	Entry("without a command", nil, ExitUsage, "a command is missing"),
	Entry("with an unknown command", []string{"noe"}, ExitUsage, "noe"),
	Entry("with an unknown flag", []string{"one", "x", "--sise", "3"}, ExitUsage, "--sise"),
	Entry("with a flag after an argument", []string{"one", "x", "--size", "3"}, ExitOK, ""),
	Entry("with too few arguments", []string{"one"}, ExitUsage, "accepts 1 arg(s), received 0"),
	Entry("with too many arguments", []string{"some", "1", "2", "3"}, ExitUsage, "accepts 0 to 2 arg(s), received 3"),
	Entry("with no argument where at least one is required", []string{"many"}, ExitUsage, "requires at least 1 arg(s), received 0"),
	Entry("with an argument where none is accepted", []string{"none", "x"}, ExitUsage, `none: unknown argument "x"`),
	Entry("with a group but no subcommand", []string{"group"}, ExitUsage, "a command is missing"),
	Entry("whose command fails", []string{"broken"}, ExitFailure, "program: two\nprogram: lines\n"),
	Entry("whose command succeeds", []string{"many", "1", "2"}, ExitOK, ""),
)
