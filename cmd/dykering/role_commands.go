package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	charm "github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"dykering/internal/controlplane"
	"dykering/internal/dataplane"
	"dykering/internal/nodefile"
	"dykering/internal/protocol"
)

// roleMemoryShare is the part of the memory limit at which the collector works harder.
const roleMemoryShare = 0.7

// role runs one role of the system.
type role func(settings nodefile.Settings, log *slog.Logger, stop <-chan os.Signal) error

func newProxy() *cli.Command {
	return newRole("proxy", "Carry the traffic of clients, as the settings file says", dataplane.Run)
}

func newControl() *cli.Command {
	return newRole("control", "Serve the control plane, as the settings file says", controlplane.Run)
}

func newRole(name, usage string, run role) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: action(func(*cli.Command) error { return runRole(run) })}
}

// runRole runs a role until SIGTERM or SIGINT.
func runRole(run role) error {
	settings, err := nodefile.LoadFromEnvironment()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, settings.Limits.CPUCores))
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(roleMemoryShare * float64(settings.Limits.MemoryMB<<20)))
	}
	protocol.Register()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP) // the settings file is read again whenever it is needed
	return run(settings, newRoleLog(), stop)
}

func newRoleLog() *slog.Logger {
	return slog.New(charm.NewWithOptions(os.Stderr, charm.Options{ReportTimestamp: true, Formatter: charm.LogfmtFormatter, Level: charm.InfoLevel}))
}
