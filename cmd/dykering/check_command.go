package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/config"
	"dykering/internal/fleetconfig"
	"dykering/internal/nodefile"
	"dykering/internal/operator"
	"dykering/internal/validation"
)

// joined is several errors as one; nil for none.
func joinErrors(all []error) error {
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

func newCheck() *cli.Command {
	return &cli.Command{
		Name: "check", ArgsUsage: "FILE...",
		Usage: "Check files and start nothing: the platform's JSON, the operator's TOML, a role's settings, a configuration of the system",
		Action: commandline.Args(1, -1, func(_ context.Context, _ *cli.Command, args []string) error {
			var errs []error
			for _, path := range args {
				errs = append(errs, checkFile(path))
			}
			return commandline.Failure(joinErrors(errs))
		}),
	}
}

// check finds what is wrong with one file. The platform's are JSON, by their name; a configuration of the system is JSON
// with routes, and a role's settings are TOML with a node's name.
func checkFile(path string) error {
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
	return validation.Join(wrong)
}

// isConfiguration tells whether JSON is a configuration of the system.
func isConfiguration(text []byte) bool {
	var document map[string]json.RawMessage
	return json.Unmarshal(text, &document) == nil && document["routes"] != nil
}
