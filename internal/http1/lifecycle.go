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

// stop ends the server shortly before it would be killed, with all answered that it has taken. Until then it
// goes on serving: no front sends it new callers, but those that it has go on using their connections, and
// where it is the only sidecar, or the others are gone or just starting, whom it cuts off has nowhere to go.
// Where there are others it closes what is idle handOver before the end, so that its last callers move there.
// Where a successor accepts on the same socket, it accepts no more and sends its callers there as in a drain.
// It ends early when nobody is connected any more. It does harm where the platform kills sooner than it says.
func (s *Server) stop() {
	told := time.Now()
	end := told.Add(s.linger)
	if s.handsOver() {
		s.findHeir()
	}
	if s.handing() {
		done, told := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(told)
			s.tell(done)
		}()
		defer func() {
			close(done)
			<-told
		}()
	}
	last := end
	if s.config.Settings.Instances > 1 && !s.handsOver() {
		last = end.Add(-min(s.handOver, s.linger-s.quiet))
	}
	s.life.Stop(last, end)
	if s.handsOver() {
		s.callers.close() // its own copy: the successor has the socket
	}
	s.loop.Leave(end, s.handsOver())
	for time.Now().Before(last) && !s.quits(time.Since(told)) {
		time.Sleep(stopPoll)
	}
	s.callers.close()
	for time.Now().Before(end.Add(killMargin/2)) && !s.callers.onlyAnswers() {
		s.callers.retire(0, 0)
		time.Sleep(stopPoll)
	}
	s.callers.cutOff()
	s.callers.closeAll(mute, idle)
	for !s.callers.quietFor(0) {
		time.Sleep(stopPoll) // answers end with their peers, which must make progress, or with the successor
	}
}

// handsOver tells whether a successor accepts in this process's place when it stops.
func (s *Server) handsOver() bool { return s.config.Accept != nil }

// quits tells whether a sidecar that was told to stop some time ago has nobody left to serve.
func (s *Server) quits(ago time.Duration) bool {
	if s.handsOver() {
		return s.callers.quietFor(0)
	}
	return ago >= s.quiet && s.callers.quietFor(s.quiet)
}
