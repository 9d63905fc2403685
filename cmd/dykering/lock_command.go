package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"dykering/client"
	"dykering/internal/commandline"
)

// defaultHold is the default hold of a lock.
const defaultHold = 3 * time.Second

// lockCommand holds the flags of the commands for locks.
type lockCommand struct {
	coordinationFlags
	token uint64
	hold  time.Duration
}

// lockResult is the JSON output of the commands for locks.
type lockResult struct {
	Lock         string `json:"lock"`
	Holder       string `json:"lease_holder"`
	FencingToken uint64 `json:"fencing_token"`
	HoldMs       int64  `json:"hold_ms,omitempty"`
}

func newLock() *cli.Command {
	return &cli.Command{
		Name: "lock", Usage: "Acquire, renew and release a lock of the coordination service",
		Action: commandline.MissingCommand, Commands: []*cli.Command{newLockAcquire(), newLockRenew(), newLockRelease()},
	}
}

func newLockAcquire() *cli.Command {
	var l lockCommand
	return &cli.Command{
		Name: "acquire", ArgsUsage: "NAME",
		Usage:  "Try once to acquire a lock and print its fencing token; the lock expires after the hold",
		Flags:  append(l.callFlags(), l.holderFlag(), l.holdFlag()),
		Action: l.action(1, l.acquire),
	}
}

func newLockRenew() *cli.Command {
	var l lockCommand
	return &cli.Command{
		Name: "renew", ArgsUsage: "NAME", Usage: "Renew a lock",
		Flags:  append(l.callFlags(), l.holderFlag(), l.tokenFlag(), l.holdFlag()),
		Action: l.action(1, l.renew),
	}
}

func newLockRelease() *cli.Command {
	var l lockCommand
	return &cli.Command{
		Name: "release", ArgsUsage: "NAME", Usage: "Release a lock; succeeds whether or not the lock is held",
		Flags:  append(l.callFlags(), l.holderFlag(), l.tokenFlag()),
		Action: l.action(1, l.release),
	}
}

func (l *lockCommand) holderFlag() cli.Flag {
	return &cli.StringFlag{Name: "holder", Usage: "name of the holder; must be unique among all callers", Destination: &l.holder, Required: true}
}

func (l *lockCommand) tokenFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "token", Usage: "fencing token of the lock", Destination: &l.token, Required: true}
}

func (l *lockCommand) holdFlag() cli.Flag {
	return &cli.DurationFlag{Name: "hold", Value: defaultHold, Usage: "time after which the lock expires unless it is renewed", Destination: &l.hold}
}

func (l *lockCommand) acquire(ctx context.Context, c *client.Client, args []string) error {
	grant, err := c.Begin(ctx, args[0], l.hold)
	if err != nil {
		return err
	}
	return l.showGrant(args[0], grant)
}

func (l *lockCommand) renew(ctx context.Context, c *client.Client, args []string) error {
	grant, err := c.Heartbeat(ctx, args[0], l.token, l.hold)
	if err != nil {
		return err
	}
	return l.showGrant(args[0], grant)
}

func (l *lockCommand) release(ctx context.Context, c *client.Client, args []string) error {
	if err := c.Finish(ctx, args[0], l.token); err != nil {
		return err
	}
	result := lockResult{Lock: args[0], Holder: l.holder, FencingToken: l.token}
	return l.show(result, fmt.Sprintf("%s is not held by %s with token %d", args[0], l.holder, l.token))
}

func (l *lockCommand) showGrant(name string, grant client.Grant) error {
	result := lockResult{Lock: name, Holder: l.holder, FencingToken: grant.Token, HoldMs: l.hold.Milliseconds()}
	return l.show(result, fmt.Sprintf("%s is held by %s with token %d for %v", name, l.holder, grant.Token, l.hold))
}
