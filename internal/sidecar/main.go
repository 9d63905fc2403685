package sidecar

import (
	"os"
	"os/signal"
	"syscall"

	"dykering/internal/config"
)

// Main is a whole process: it serves as the environment and an operator's file say, none where that is "", until
// SIGTERM or an interrupt.
func Main(getenv func(string) string, operator string) error {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP) // first of all: uncaught, it ends the process
	signal.Ignore(syscall.SIGPIPE)        // as does a line of the log that nobody is there to read any more
	c, err := config.Load(getenv)
	if err != nil {
		return err
	}
	g, err := Start(operator, os.LookupEnv, os.Stderr)
	if err != nil {
		return err
	}
	defer g.Close()
	return Run(c, g, stop, reload)
}
