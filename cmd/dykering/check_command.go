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

// joinErrors combines errors into one error with one line for each. It returns nil if all are nil.
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
		Usage: "Validate files: the platform's JSON, the operator's TOML, a role's settings, or a routing configuration",
		Action: commandline.Args(1, -1, func(_ context.Context, _ *cli.Command, args []string) error {
			var errs []error
			for _, path := range args {
				errs = append(errs, checkFile(path))
			}
			return commandline.Failure(joinErrors(errs))
		}),
	}
}

// checkFile validates one file. It detects the type of the file: a JSON file with routes is a routing configuration, any other
// JSON file is the platform's configuration, a TOML file with node_name has a role's settings, and any other TOML file is the
// operator's file.
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
			return "" // no overrides from the environment of this command
		})
		return err
	case strings.Contains(string(text), "node_name"):
		_, err := nodefile.Load(path)
		return err
	}
	_, errs := operator.Load(path, os.LookupEnv)
	return validation.Join(errs)
}

// isConfiguration reports whether JSON is a routing configuration.
func isConfiguration(text []byte) bool {
	var document map[string]json.RawMessage
	return json.Unmarshal(text, &document) == nil && document["routes"] != nil
}
