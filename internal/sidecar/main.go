package sidecar

import (
	"os"
	"os/signal"
	"syscall"

	"dykering/internal/config"
)

// Main runs the process until SIGTERM or an interrupt. The environment names the platform's file, and operatorPath is the
// operator's file; an empty path means none. SIGHUP reloads both files.
func Main(getenv func(string) string, operatorPath string) error {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP) // first, because an unhandled SIGHUP terminates the process
	signal.Ignore(syscall.SIGPIPE)        // otherwise a log write after its reader exited terminates the process
	platform, err := config.Load(getenv)
	if err != nil {
		return err
	}
	file, err := loadOperatorFile(operatorPath, os.LookupEnv, os.Stderr)
	if err != nil {
		return err
	}
	defer file.close()
	return run(platform, file, stop, reload)
}
