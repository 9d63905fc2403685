package main

import (
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"dykering/internal/operator"
)

func newVersion() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "Print the version",
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
		}),
	}
}
