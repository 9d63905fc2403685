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

// runtimeMemoryShare is the share of the process's memory limit that is set as the soft memory limit of the Go runtime. Near
// this limit the garbage collector runs more often, before the process reaches the hard limit.
const runtimeMemoryShare = 0.7

// role runs one role of the system.
type role func(settings nodefile.Settings, log *slog.Logger, stop <-chan os.Signal) error

// RunControl runs the control plane until SIGTERM or SIGINT.
func RunControl() error { return run(controlplane.Run) }

// RunProxy runs the proxy for client traffic until SIGTERM or SIGINT.
func RunProxy() error { return run(dataplane.Run) }

func run(r role) error {
	signal.Ignore(syscall.SIGHUP) // the roles read the settings file again by themselves when needed; it must not end a start
	settings, err := nodefile.LoadFromEnvironment()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, settings.Limits.CPUCores))
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(settings.Limits.MemoryMB<<20)))
	}
	protocol.Register()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	return r(settings, newLog(), stop)
}

// debugTimeFormat has milliseconds, so that lines of several processes can be put in order.
const debugTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// logLevelVariable is the environment variable that sets the log level: debug, info, warn or error.
const logLevelVariable = "DYKERING_LOG_LEVEL"

// newLog returns the log of the process. An unset or invalid level counts as info.
func newLog() *slog.Logger {
	level, err := charm.ParseLevel(os.Getenv(logLevelVariable))
	if err != nil {
		level = charm.InfoLevel
	}
	options := charm.Options{ReportTimestamp: true, Formatter: charm.LogfmtFormatter, Level: level}
	if level == charm.DebugLevel {
		options.TimeFormat = debugTimeFormat
	}
	return slog.New(charm.NewWithOptions(os.Stderr, options))
}
