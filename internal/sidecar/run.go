package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"

	"go.uber.org/zap"

	"dykering/internal/config"
	"dykering/internal/control"
	"dykering/internal/http1"
	"dykering/internal/listen"
)

// memoryLimitShare is the share of the memory limit at which the garbage collector works harder. The rest is for the
// stacks of system threads and what the kernel counts.
const memoryLimitShare = 0.75

// run serves until a signal arrives on stop, and then until what was accepted has ended. A signal on reload has the
// platform's file and the operator's file read again.
func run(platform *config.Config, file *operatorFile, stop, reload <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(platform.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(platform.Plan().MemoryMB<<20)))
	server, err := http1.New(platform, file.log.Logger)
	if err != nil {
		return err
	}
	listener, err := listen.Open(platform.Listen, platform.Accept)
	if err != nil {
		return err
	}
	fleet, err := startFleet(platform, file)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	if fleet != nil {
		defer fleet.close()
		if err := fleet.join(server, platform); err != nil {
			return errors.Join(err, listener.Close())
		}
	}
	if platform.Control != "" {
		operators, err := serveControl(platform.Control, server, fleet, file)
		if err != nil {
			return errors.Join(err, listener.Close())
		}
		defer operators.Close()
	}
	ended := make(chan struct{})
	defer close(ended)
	return server.Run(listener, stop, forwardReloads(file, reload, ended))
}

// serveControl serves the control address until the returned server is closed.
func serveControl(address string, server *http1.Server, fleet *fleet, file *operatorFile) (*control.Server, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	file.log.Info("control.listening", zap.Stringer("address", listener.Addr()))
	operators := control.New(listener, server, controlFleet(fleet))
	go func() {
		if err := operators.Run(); err != nil {
			file.log.Error("control.failed", zap.Error(err))
		}
	}()
	return operators, nil
}

// forwardReloads reloads the operator's file at each signal, and passes the signal on for the platform's file. A signal
// that finds one waiting is dropped: that one reads the file as it is then.
func forwardReloads(file *operatorFile, reload <-chan os.Signal, ended <-chan struct{}) <-chan os.Signal {
	platform := make(chan os.Signal, 1)
	go func() {
		for {
			select {
			case signal := <-reload:
				file.reload()
				select {
				case platform <- signal:
				default:
				}
			case <-ended:
				return
			}
		}
	}()
	return platform
}
