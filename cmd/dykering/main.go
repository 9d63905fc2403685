// Command dykering is a broker: it balances the calls of one service, or of clients, over the endpoints of the next
// tier.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"dykering/internal/config"
	"dykering/internal/faults"
	"dykering/internal/operator"
	"dykering/internal/sidecar"
)

// The exit codes.
const (
	exitOK    = 0
	exitFault = 1 // something is wrong with what it was given, or it could not run
	exitUsage = 2 // the command line is wrong
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// faulty marks an error as one of the work, not of the command line.
type faulty struct{ error }

func (f faulty) Unwrap() error { return f.error }

// execute runs a command line, and returns the exit code.
func execute(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		fmt.Fprintln(errOut, "dykering: "+line)
	}
	if errors.As(err, new(faulty)) {
		return exitFault
	}
	fmt.Fprintln(errOut, "dykering: see dykering --help")
	return exitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "dykering", Short: "A broker between services: it picks a server for each request and keeps strict rules.",
		Long: "A broker between services: it picks a server for each request and keeps strict rules.\n\n" +
			"Exit codes: 0 well, 1 a fault in what it was given or in the running, 2 a wrong command line.",
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			c.SetOut(c.ErrOrStderr())
			c.Help()
			return errors.New("a command is missing")
		},
	}
	show := &cobra.Command{Use: "config", Short: "Look at the configuration", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return errors.New("config: show or default is missing") }}
	show.AddCommand(newShow(), newDefault())
	root.AddCommand(newRun(), newCheck(), show, newVersion(), newFleet(), newProxy(), newControl())
	return root
}

// files are the flags that name what a process is told.
type files struct{ platform, operator string }

func (f *files) flags(c *cobra.Command) {
	c.Flags().StringVar(&f.platform, "config", "", "the platform's JSON file, in place of BALANCER_CONFIG")
	c.Flags().StringVar(&f.operator, "operator", "", "the operator's TOML file; without it the defaults hold")
	if err := errors.Join(c.MarkFlagFilename("config", "json"), c.MarkFlagFilename("operator", "toml")); err != nil {
		panic(err) // a flag that is not there: a fault of this program's, that any test of it finds
	}
}

// getenv is the environment, with what the flags say of it.
func (f *files) getenv(name string) string {
	if name == "BALANCER_CONFIG" && f.platform != "" {
		return f.platform
	}
	return os.Getenv(name)
}

func newRun() *cobra.Command {
	var f files
	c := &cobra.Command{Use: "run", Short: "Serve until SIGTERM", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := f.run(); err != nil {
				return faulty{err}
			}
			return nil
		}}
	f.flags(c)
	return c
}

func (f *files) run() error { return sidecar.Main(f.getenv, f.operator) }

func newCheck() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Check platform's JSON and operator's TOML files, and start nothing",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var wrong []error
			for _, path := range args {
				wrong = append(wrong, check(path))
			}
			if err := errors.Join(wrong...); err != nil {
				return faulty{err}
			}
			return nil
		}}
}

// check finds what is wrong with one file. The platform's are JSON, by their name.
func check(path string) error {
	if !strings.HasSuffix(path, ".json") {
		_, wrong := operator.Load(path, os.LookupEnv)
		return faults.Join(wrong)
	}
	_, err := config.Load(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return path
		}
		return "" // the file alone, not what this environment makes of it
	})
	return err
}

func newShow() *cobra.Command {
	var f files
	c := &cobra.Command{Use: "show", Short: "Show what holds, and where each value comes from", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := f.show(c.OutOrStdout()); err != nil {
				return faulty{err}
			}
			return nil
		}}
	f.flags(c)
	return c
}

func (f *files) show(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if f.getenv("BALANCER_CONFIG") != "" {
		c, err := config.Load(f.getenv)
		if err != nil {
			return err
		}
		for _, v := range c.Values() {
			fmt.Fprintf(t, "%s\t= %s\t# %s\n", v.Key, v.Text, v.Source)
		}
	}
	o := operator.Defaults()
	if f.operator != "" {
		var wrong []faults.Fault
		if o, wrong = operator.Load(f.operator, os.LookupEnv); len(wrong) > 0 {
			return faults.Join(wrong)
		}
	}
	for _, v := range o.Values() {
		fmt.Fprintf(t, "%s\t= %s\t# %s\n", v.Key, v.Text, v.Source)
	}
	return t.Flush()
}

func newDefault() *cobra.Command {
	return &cobra.Command{Use: "default", Short: "Print an operator's file with every key and its default", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprint(c.OutOrStdout(), operator.Example()) }}
}

func newVersion() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			version, revision := "unknown", ""
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = " " + s.Value
					}
				}
				revision += " " + info.GoVersion
			}
			fmt.Fprintf(c.OutOrStdout(), "dykering %s%s, operator's file version %d\n", version, revision, operator.Version)
		}}
}
