package sidecar

import (
	"os"
	"os/signal"
	"syscall"

	"dykering/internal/config"
)

// Main runs the process until SIGTERM or an interrupt, as the environment and an operator's file say; an empty path
// stands for no file. SIGHUP has both files read again.
func Main(getenv func(string) string, operatorPath string) error {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP) // before all else: not handled, it ends the process
	signal.Ignore(syscall.SIGPIPE)        // as does a line of the log once its reader has gone
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
