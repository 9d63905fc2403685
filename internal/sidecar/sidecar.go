// Package sidecar puts a process together: its limits, its sockets, the front that serves on them, the address of
// those who operate it, and the generations of the operator's file.
package sidecar

import (
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

// memoryShare is the part of the memory limit at which the collector works harder; the rest is for stacks
// of system threads and what the kernel counts.
const memoryShare = 0.75

// Run serves until a signal arrives on stop, and then ends what was taken. A signal on reload makes it read
// its configuration file and the operator's file again.
func Run(c *config.Config, g *Generations, stop, reload <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(c.Plan().MemoryMB<<20)))
	s, err := http1.New(c, g.log.Logger)
	if err != nil {
		return err
	}
	listener, err := listen.Open(c.Listen, c.Accept)
	if err != nil {
		return err
	}
	fleet, err := startFleet(c, g)
	if err != nil {
		listener.Close()
		return err
	}
	if fleet != nil {
		defer fleet.close()
		fleet.replicate(s.Loop())
		if err := fleet.divide(s.Loop(), &c.Settings); err != nil {
			listener.Close()
			return err
		}
		fleet.gossip.Join()
	}
	if c.Control != "" {
		place, err := net.Listen("tcp", c.Control)
		if err != nil {
			listener.Close()
			return fmt.Errorf("control: %w", err)
		}
		g.log.Info("control.listening", zap.Stringer("address", place.Addr()))
		operators := control.New(place, s, fleetOf(fleet))
		defer operators.Close()
		go func() {
			if err := operators.Run(); err != nil {
				g.log.Error("control.failed", zap.Error(err))
			}
		}()
	}
	platform := make(chan os.Signal, 1)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case sig := <-reload:
				g.Reload()
				select {
				case platform <- sig:
				default: // one is to come that reads what is there now
				}
			case <-ended:
				return
			}
		}
	}()
	return s.Run(listener, stop, platform)
}
