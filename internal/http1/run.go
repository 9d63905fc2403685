package http1

import (
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
)

// Run serves callers that come to a listener until a signal arrives on stop, and then ends what was taken. A signal on
// reload makes it read its configuration file again.
func (s *Server) Run(listener net.Listener, stop, reload <-chan os.Signal) error {
	s.callers.Listener = listener
	// First of all: as soon as this process can serve, the one before may be told to end, and looks for it.
	if close := s.receive(); close != nil {
		defer close()
	}
	go s.loop.Run()
	defer s.loop.Close()
	ended := make(chan struct{})
	defer close(ended)
	go s.sendAway(ended)
	go func() {
		for {
			select {
			case _, more := <-reload:
				if !more {
					return
				}
				s.reload()
			case <-ended:
				return
			}
		}
	}()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		var sig os.Signal
		select {
		case sig = <-stop:
		case <-ended:
			return
		}
		held := s.loop.Stats()
		s.log.Info("process.stopping", zap.Stringer("signal", sig), zap.Int("calls", held.Calls), zap.Int("out", held.Out))
		s.stop()
	}()
	s.log.Info("process.serving", zap.String("name", s.config.Name), zap.Stringer("address", listener.Addr()))
	if s.handsOver() {
		s.untilItCanServe()
	}
	accepted := make(chan error, 1)
	go func() { accepted <- s.accept() }()
	select {
	case err := <-accepted:
		if phase, _, _ := s.life.Now(); phase != core.Stopping {
			return err
		}
		<-stopped
	case <-stopped: // an accept may still hang: see callers.close
	}
	return nil
}

// untilItCanServe waits, where others may accept on the same socket, for this process's first list of endpoints: what it
// took before that it could only refuse, and its predecessor serves it. After acceptBy it answers all the same, for
// there may be nobody else.
func (s *Server) untilItCanServe() {
	enough := time.NewTimer(s.acceptBy)
	defer enough.Stop()
	for {
		phase, _, changed := s.life.Now()
		if phase == core.Stopping || s.life.CanServe() {
			return
		}
		select {
		case <-changed:
		case <-enough.C:
			s.log.Warn("process.accepts_without_list", zap.Duration("after", s.acceptBy))
			return
		}
	}
}

// reload takes up the discovery that the configuration file names now. All else is as it was at the start.
// A file that cannot be used changes nothing.
func (s *Server) reload() {
	s.reloaded.Store(time.Now().UnixNano())
	c, err := s.config.Reload()
	if err != nil {
		s.log.Warn("reload.refused", zap.Error(err)) // the old configuration stays
		return
	}
	s.log.Info("reload.taken", zap.String("discovery", c.Discovery))
	s.loop.Follow(c.Discovery)
}
