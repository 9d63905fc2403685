package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/internal/config"
	"dykering/internal/operator"
	"dykering/internal/validation"
)

func newConfig() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "Show the configuration", Commands: []*cli.Command{newShow(), newDefault()},
		Action: func(context.Context, *cli.Command) error { return errors.New("config: show or default is missing") },
	}
}

func newShow() *cli.Command {
	var f inputFiles
	return &cli.Command{
		Name: "show", Usage: "Show the values in force and their sources", Flags: f.flags(),
		Action: action(func(c *cli.Command) error { return f.show(c.Root().Writer) }),
	}
}

func (f *inputFiles) show(out io.Writer) error {
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
	if f.operatorFile != "" {
		var errs []validation.Error
		if o, errs = operator.Load(f.operatorFile, os.LookupEnv); len(errs) > 0 {
			return validation.Join(errs)
		}
	}
	for _, v := range o.Values() {
		fmt.Fprintf(t, "%s\t= %s\t# %s\n", v.Key, v.Text, v.Source)
	}
	return t.Flush()
}

func newDefault() *cli.Command {
	return &cli.Command{
		Name: "default", Usage: "Print an example of the operator's file with every key and its default",
		Action: action(func(c *cli.Command) error {
			_, err := fmt.Fprint(c.Root().Writer, operator.Example())
			return err
		}),
	}
}
