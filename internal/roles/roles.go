package roles

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	charm "github.com/charmbracelet/log"

	"dykering/internal/controlplane"
	"dykering/internal/dataplane"
	"dykering/internal/nodefile"
	"dykering/internal/protocol"
)

// memoryShare is the part of the memory limit at which the collector works harder.
const memoryShare = 0.7

// role runs one role of the system.
type role func(settings nodefile.Settings, log *slog.Logger, stop <-chan os.Signal) error

// RunControl serves the control plane until SIGTERM or SIGINT.
func RunControl() error { return run(controlplane.Run) }

// RunProxy carries the traffic of clients until SIGTERM or SIGINT.
func RunProxy() error { return run(dataplane.Run) }

func run(r role) error {
	settings, err := nodefile.LoadFromEnvironment()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, settings.Limits.CPUCores))
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB<<20)))
	}
	protocol.Register()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP) // the settings file is read again whenever it is needed
	return r(settings, newLog(), stop)
}

func newLog() *slog.Logger {
	return slog.New(charm.NewWithOptions(os.Stderr, charm.Options{ReportTimestamp: true, Formatter: charm.LogfmtFormatter, Level: charm.InfoLevel}))
}
