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

// memoryLimitShare is the share of the process's memory that becomes the soft limit of the Go runtime. The rest is for
// memory outside of the runtime's control: stacks of system threads, and kernel memory that counts towards the limit.
const memoryLimitShare = 0.75

// run serves until a signal arrives on stop, and then until the accepted requests have ended. A signal on reload reloads the
// platform's file and the operator's file.
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
		controlServer, err := serveControl(platform.Control, server, fleet, file)
		if err != nil {
			return errors.Join(err, listener.Close())
		}
		defer controlServer.Close()
	}
	ended := make(chan struct{})
	defer close(ended)
	return server.Run(listener, stop, forwardReloads(file, reload, ended))
}

// serveControl starts a server for the control address. It serves until the caller closes it.
func serveControl(address string, server *http1.Server, fleet *fleet, file *operatorFile) (*control.Server, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	file.log.Info("control.listening", zap.Stringer("address", listener.Addr()))
	controlServer := control.New(listener, server, controlFleet(fleet))
	go func() {
		if err := controlServer.Run(); err != nil {
			file.log.Error("control.failed", zap.Error(err))
		}
	}()
	return controlServer, nil
}

// forwardReloads reloads the operator's file at each signal, and forwards the signal to the returned channel for the reload
// of the platform's file. It drops a signal while an earlier one is pending, because the pending reload reads the latest
// file. It stops when ended is closed.
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
