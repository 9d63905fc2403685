package http1

import (
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
)

// Run serves the clients of a listener until a signal is received on stop, and then shuts down
// gracefully. A signal on reload makes it read its configuration file again. It returns nil after a
// shutdown, or the error of the listener.
func (s *Server) Run(listener net.Listener, stop, reload <-chan os.Signal) error {
	s.clients.Listener = listener
	// Before anything else: once this process can serve, its predecessor may be stopped and then looks
	// for the receiver.
	if stopReceiving := s.receiveTransfers(); stopReceiving != nil {
		defer stopReceiving()
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
		stats := s.loop.Stats()
		s.log.Info("process.stopping", zap.Stringer("signal", sig), zap.Int("calls", stats.Calls), zap.Int("out", stats.Attempts))
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
	case <-stopped:
		// An accept may still block; see connTracker.closeListener.
	}
	return nil
}

// awaitFirstList waits for the first list of endpoints where other processes may accept on the same
// socket. Without a list this process could only reject what it accepts, while its predecessor can
// serve it. After firstListTimeout it accepts nevertheless, for there may be no other process.
func (s *Server) awaitFirstList() {
	timeout := time.NewTimer(s.firstListTimeout)
	defer timeout.Stop()
	for {
		phase, _, changed := s.lifecycle.Now()
		if phase == core.Stopping || s.lifecycle.CanServe() {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			s.log.Warn("process.accepts_without_list", zap.Duration("after", s.firstListTimeout))
			return
		}
	}
}

// reload follows the discovery address that the configuration file names now. Other settings stay
// as they were at the start. A file that cannot be used changes nothing.
func (s *Server) reload() {
	s.lastReload.Store(time.Now().UnixNano())
	c, err := s.config.Reload()
	if err != nil {
		s.log.Warn("reload.refused", zap.Error(err))
		return
	}
	s.log.Info("reload.taken", zap.String("discovery", c.Discovery))
	s.loop.SwitchDiscovery(c.Discovery)
}

// shutdown ends the server shortly before the platform kills the process, with all accepted
// requests answered. Until then the server goes on serving: load balancers send it no new clients,
// but existing ones go on using their connections, and may have no other instance to go to.
//
//   - Without a shared listener and with other instances, idle connections are closed redirectLead
//     before the end, so that the last clients move there.
//   - With a successor on the same listener, this process stops accepting and redirects its clients
//     as in a drain.
//   - It returns early once no client is connected.
//
// A platform that kills sooner than it states cuts requests off.
func (s *Server) shutdown() {
	began := time.Now()
	end := began.Add(s.shutdownTimeout)
	if s.sharesListener() {
		s.findSuccessor()
	}
	if s.hasSuccessor() {
		defer s.startSendingState()()
	}
	last := end
	if s.config.Settings.Instances > 1 && !s.sharesListener() {
		last = end.Add(-min(s.redirectLead, s.shutdownTimeout-s.quietPeriod))
	}
	s.lifecycle.Stop(last, end)
	if s.sharesListener() {
		s.clients.closeListener() // this process's copy; the successor accepts on its own
	}
	s.loop.Drain(end, s.sharesListener())
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
		// Answers end because their peers have to make progress, or with a transfer.
		time.Sleep(shutdownPollInterval)
	}
}

// sharesListener reports whether a successor accepts on the same socket when this process stops.
func (s *Server) sharesListener() bool { return s.config.Accept != nil }

// canExit reports whether no client is left, the given time after the signal to stop.
func (s *Server) canExit(ago time.Duration) bool {
	if s.sharesListener() {
		return s.clients.emptyFor(0)
	}
	return ago >= s.quietPeriod && s.clients.emptyFor(s.quietPeriod)
}
