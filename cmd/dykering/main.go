// Command dykering is a broker: it balances the calls of one service, or of clients, over the endpoints of the next
// tier.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/config"
	"dykering/internal/faults"
	"dykering/internal/fleetconfig"
	"dykering/internal/nodefile"
	"dykering/internal/operator"
	"dykering/internal/sidecar"
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs a command line, and returns the exit code.
func execute(args []string, out, errOut io.Writer) int {
	return commandline.Run(context.Background(), newRoot(), args, out, errOut)
}

const about = "A broker between services, and the router and placer of many models: it picks a server for each request and keeps " +
	"strict rules."

func newRoot() *cli.Command {
	return &cli.Command{
		Name: "dykering", Usage: about,
		Description:                     "Exit codes: 0 well, 1 a fault in what it was given or in the running, 2 a wrong command line.",
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		Commands:                        []*cli.Command{newRun(), newCheck(), newConfig(), newVersion(), newFleet(), newProxy(), newControl(), newStatus(), newExplain()},
	}
}

// action does the work of a command that takes no arguments. Its errors are none of the command line.
func action(work func(c *cli.Command) error) cli.ActionFunc {
	return commandline.NoArgs(func(_ context.Context, c *cli.Command) error { return commandline.Fault(work(c)) })
}

// joined is several errors as one; nil for none.
func joined(all []error) error {
	var lines []string
	for _, err := range all {
		if err != nil {
			lines = append(lines, err.Error())
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return errors.New(strings.Join(lines, "\n"))
}

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
	return &cli.Command{Name: "run", Usage: "Serve until SIGTERM", Flags: f.flags(),
		Action: action(func(*cli.Command) error { return f.run() })}
}

func (f *files) run() error { return sidecar.Main(f.getenv, f.operator) }

func newCheck() *cli.Command {
	return &cli.Command{Name: "check", ArgsUsage: "FILE...",
		Usage: "Check files and start nothing: the platform's JSON, the operator's TOML, a role's settings, a configuration of the system",
		Action: commandline.Args(1, -1, func(_ context.Context, _ *cli.Command, args []string) error {
			var wrong []error
			for _, path := range args {
				wrong = append(wrong, check(path))
			}
			return commandline.Fault(joined(wrong))
		})}
}

// check finds what is wrong with one file. The platform's are JSON, by their name; a configuration of the system is JSON
// with routes, and a role's settings are TOML with a node's name.
func check(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	isJSON := strings.HasSuffix(path, ".json")
	switch {
	case isJSON && isConfiguration(text):
		change := &fleetconfig.Change{Operation: fleetconfig.Replace, Body: text}
		_, err := (&fleetconfig.State{}).Next(change)
		return errors.Wrap(err, path)
	case isJSON:
		_, err := config.Load(func(name string) string {
			if name == "BALANCER_CONFIG" {
				return path
			}
			return "" // the file alone, not what this environment makes of it
		})
		return err
	case strings.Contains(string(text), "node_name"):
		_, err := nodefile.Load(path)
		return err
	}
	_, wrong := operator.Load(path, os.LookupEnv)
	return faults.Join(wrong)
}

// isConfiguration tells whether JSON is a configuration of the system.
func isConfiguration(text []byte) bool {
	var document map[string]json.RawMessage
	return json.Unmarshal(text, &document) == nil && document["routes"] != nil
}

func newConfig() *cli.Command {
	return &cli.Command{Name: "config", Usage: "Look at the configuration", Commands: []*cli.Command{newShow(), newDefault()},
		Action: func(context.Context, *cli.Command) error { return errors.New("config: show or default is missing") }}
}

func newShow() *cli.Command {
	var f files
	return &cli.Command{Name: "show", Usage: "Show what holds, and where each value comes from", Flags: f.flags(),
		Action: action(func(c *cli.Command) error { return f.show(c.Root().Writer) })}
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

func newDefault() *cli.Command {
	return &cli.Command{Name: "default", Usage: "Print an operator's file with every key and its default",
		Action: action(func(c *cli.Command) error {
			_, err := fmt.Fprint(c.Root().Writer, operator.Example())
			return err
		})}
}

func newVersion() *cli.Command {
	return &cli.Command{Name: "version", Usage: "Print the version",
		Action: action(func(c *cli.Command) error {
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
			_, err := fmt.Fprintf(c.Root().Writer, "dykering %s%s, operator's file version %d\n", version, revision, operator.Version)
			return err
		})}
}
