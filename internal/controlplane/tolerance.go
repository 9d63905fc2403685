package controlplane

import (
	"time"

	"dykering/internal/protocol"
)

// toleranceReport holds the number of tolerable losses that was logged last.
type toleranceReport struct {
	losses int
	known  bool // false before the first report
}

// reportTolerance logs when the number of further member losses that the core tolerates changes. If the core tolerates
// no further loss, it logs a warning with the members that cause this.
func (s *Server) reportTolerance(now time.Duration) {
	tolerance := s.toleranceAt(now)
	isStarting := !s.tolerance.known && now < s.timing.suspectAfter // the first pings may not be answered yet
	if s.chain.View().Number == 0 || isStarting || s.tolerance.known && s.tolerance.losses == tolerance.Losses {
		return
	}
	s.tolerance = toleranceReport{losses: tolerance.Losses, known: true}
	if tolerance.Losses > 0 {
		s.log.Info("chain.tolerance", "losses", tolerance.Losses)
		return
	}
	s.log.Warn("chain.no_tolerance", "losses", tolerance.Losses, "leaving", tolerance.Leaving, "unreachable", tolerance.Unreachable)
}

// toleranceAt returns how many further member losses the core tolerates as this member sees it, and which members are
// leaving or unreachable.
func (s *Server) toleranceAt(now time.Duration) *protocol.Tolerance {
	tolerance := &protocol.Tolerance{Losses: s.chain.TolerableLosses(now)}
	for _, voter := range s.chain.View().Voters {
		switch {
		case s.chain.IsLeaving(voter):
			tolerance.Leaving = append(tolerance.Leaving, voter.ID)
		case voter.ID != s.chain.Self().ID && !s.chain.IsReachable(now, voter.Address):
			tolerance.Unreachable = append(tolerance.Unreachable, voter.ID)
		}
	}
	return tolerance
}
