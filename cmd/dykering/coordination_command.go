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

// coordinationTimeout is the default time limit of a call of the coordination service with all its attempts.
const coordinationTimeout = 5 * time.Second

// coordinationFlags holds the common flags of the commands of the coordination service, and their outputs.
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
			Name: "address", Usage: "control_plane address of a control process, HOST:PORT; repeat the flag for each process",
			Destination: &f.addresses, Required: true,
		},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &f.json},
	}
}

// callFlags returns the flags of a command that makes a single call.
func (f *coordinationFlags) callFlags() []cli.Flag {
	return append(f.flags(), &cli.DurationFlag{
		Name: "timeout", Value: coordinationTimeout, Usage: "time limit of the call with all its retries", Destination: &f.timeout,
	})
}

// connect returns a client for the addresses.
func (f *coordinationFlags) connect() (*client.Client, error) {
	return client.New(client.Options{Addresses: f.addresses, Holder: f.holder, CallTimeout: f.timeout})
}

// show prints a result as JSON, or the text as a line.
func (f *coordinationFlags) show(result any, text string) error {
	if !f.json {
		fmt.Fprintln(f.out, text)
		return nil
	}
	return errors.Wrap(json.NewEncoder(f.out).Encode(result), "write the result as JSON")
}

// coordinationCall runs a command with a client and prints the result.
type coordinationCall func(ctx context.Context, c *client.Client, args []string) error

// action returns the action of a command that takes a fixed number of arguments.
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
