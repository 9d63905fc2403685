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
	s.clients.Listener = listener
	// First of all: as soon as this process can serve, the one before may be told to end, and looks for it.
	if close := s.receiveTransfers(); close != nil {
		defer close()
	}
	go s.loop.Run()
	defer s.loop.Close()
	ended := make(chan struct{})
	defer close(ended)
	go s.drainConnections(ended)
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
		s.shutdown()
	}()
	s.log.Info("process.serving", zap.String("name", s.config.Name), zap.Stringer("address", listener.Addr()))
	if s.sharesListener() {
		s.awaitFirstList()
	}
	accepted := make(chan error, 1)
	go func() { accepted <- s.accept() }()
	select {
	case err := <-accepted:
		if phase, _, _ := s.lifecycle.Now(); phase != core.Stopping {
			return err
		}
		<-stopped
	case <-stopped: // an accept may still hang: see callers.close
	}
	return nil
}

// awaitFirstList waits, where others may accept on the same socket, for this process's first list of endpoints: what it
// took before that it could only refuse, and its predecessor serves it. After acceptBy it answers all the same, for
// there may be nobody else.
func (s *Server) awaitFirstList() {
	enough := time.NewTimer(s.firstListTimeout)
	defer enough.Stop()
	for {
		phase, _, changed := s.lifecycle.Now()
		if phase == core.Stopping || s.lifecycle.CanServe() {
			return
		}
		select {
		case <-changed:
		case <-enough.C:
			s.log.Warn("process.accepts_without_list", zap.Duration("after", s.firstListTimeout))
			return
		}
	}
}

// reload takes up the discovery that the configuration file names now. All else is as it was at the start.
// A file that cannot be used changes nothing.
func (s *Server) reload() {
	s.lastReload.Store(time.Now().UnixNano())
	c, err := s.config.Reload()
	if err != nil {
		s.log.Warn("reload.refused", zap.Error(err)) // the old configuration stays
		return
	}
	s.log.Info("reload.taken", zap.String("discovery", c.Discovery))
	s.loop.Follow(c.Discovery)
}

// shutdown ends the server shortly before it would be killed, with all answered that it has taken. Until then it
// goes on serving: no front sends it new callers, but those that it has go on using their connections, and
// where it is the only sidecar, or the others are gone or just starting, whom it cuts off has nowhere to go.
// Where there are others it closes what is idle handOver before the end, so that its last callers move there.
// Where a successor accepts on the same socket, it accepts no more and sends its callers there as in a drain.
// It ends early when nobody is connected any more. It does harm where the platform kills sooner than it says.
func (s *Server) shutdown() {
	began := time.Now()
	end := began.Add(s.shutdownTimeout)
	if s.sharesListener() {
		s.findSuccessor()
	}
	if s.hasSuccessor() {
		done, sent := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(sent)
			s.sendState(done)
		}()
		defer func() {
			close(done)
			<-sent
		}()
	}
	last := end
	if s.config.Settings.Instances > 1 && !s.sharesListener() {
		last = end.Add(-min(s.redirectLead, s.shutdownTimeout-s.quietPeriod))
	}
	s.lifecycle.Stop(last, end)
	if s.sharesListener() {
		s.clients.closeListener() // its own copy: the successor has the socket
	}
	s.loop.Leave(end, s.sharesListener())
	for time.Now().Before(last) && !s.canExit(time.Since(began)) {
		time.Sleep(shutdownPollInterval)
	}
	s.clients.closeListener()
	for time.Now().Before(end.Add(killMargin/2)) && !s.clients.onlyAnswering() {
		s.clients.expire(0, 0)
		time.Sleep(shutdownPollInterval)
	}
	s.clients.abortReads()
	s.clients.closeInStates(stateNew, stateIdle)
	for !s.clients.emptyFor(0) {
		time.Sleep(shutdownPollInterval) // answers end with their peers, which must make progress, or with the successor
	}
}

// sharesListener tells whether a successor accepts in this process's place when it stops.
func (s *Server) sharesListener() bool { return s.config.Accept != nil }

// canExit tells whether a sidecar that was told to stop some time ago has nobody left to serve.
func (s *Server) canExit(ago time.Duration) bool {
	if s.sharesListener() {
		return s.clients.emptyFor(0)
	}
	return ago >= s.quietPeriod && s.clients.emptyFor(s.quietPeriod)
}
