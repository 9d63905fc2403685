package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/client"
	"dykering/internal/commandline"
)

// coordinationTimeout bounds a call of the coordination service with all its attempts, unless the command line says
// otherwise.
const coordinationTimeout = 5 * time.Second

// coordination holds the flags that all commands of the coordination service have, and where they print.
type coordinationFlags struct {
	out, errOut io.Writer

	addresses []string
	holder    string
	timeout   time.Duration
	json      bool
}

// flags returns the common flags.
func (f *coordinationFlags) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "address", Usage: "a control_plane address of a control process, HOST:PORT; give all of them",
			Destination: &f.addresses, Required: true,
		},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &f.json},
	}
}

// callFlags returns the flags of a command that makes one call.
func (f *coordinationFlags) callFlags() []cli.Flag {
	return append(f.flags(), &cli.DurationFlag{
		Name: "timeout", Value: coordinationTimeout, Usage: "how long to try, at one address after another", Destination: &f.timeout,
	})
}

// connect returns a client of the addresses.
func (f *coordinationFlags) connect() (*client.Client, error) {
	return client.New(client.Options{Addresses: f.addresses, Holder: f.holder, CallTimeout: f.timeout})
}

// show prints a result: as JSON, or as a line of text.
func (f *coordinationFlags) show(result any, text string) error {
	if !f.json {
		fmt.Fprintln(f.out, text)
		return nil
	}
	return errors.Wrap(json.NewEncoder(f.out).Encode(result), "output")
}

// coordinationWork does the work of a command with a client, and shows the result.
type coordinationCall func(ctx context.Context, c *client.Client, args []string) error

// action returns the action of a command with a number of arguments.
func (f *coordinationFlags) action(arguments int, work coordinationCall) cli.ActionFunc {
	return commandline.Args(arguments, arguments, func(ctx context.Context, command *cli.Command, args []string) error {
		f.out, f.errOut = command.Root().Writer, command.Root().ErrWriter
		c, err := f.connect()
		if err != nil {
			return err
		}
		defer c.Close()
		return commandline.Failure(work(ctx, c, args))
	})
}
