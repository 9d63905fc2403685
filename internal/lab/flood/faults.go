package flood

import (
	"math/rand/v2"
	"syscall"
	"time"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/pause"
)

// startTime is the time after a start in which a process gets no SIGHUP.
const startTime = time.Second

// fault draws a fault of a process: a signal, or a restart.
func (s *soak) fault(dice *rand.Rand, m *member) {
	choice, freeze := dice.IntN(5), time.Duration(dice.Int64N(int64(maxFreeze)))
	m.mu.Lock()
	defer m.mu.Unlock()
	switch choice {
	case 0, 1:
		if time.Since(m.startedAt) < startTime {
			return // a program cannot handle a signal before it runs
		}
		s.note("SIGHUP to %s", m.process.Name)
		m.process.Signal(syscall.SIGHUP)
	case 2:
		s.note("%s is frozen for %v", m.process.Name, freeze.Round(time.Millisecond))
		m.process.Signal(syscall.SIGSTOP)
		pause.For(s.done, freeze)
		m.process.Signal(syscall.SIGCONT)
	case 3:
		s.note("%s is stopped and restarted", m.process.Name)
		s.restart(m, m.process.Stop)
	default:
		s.note("%s is killed and restarted", m.process.Name)
		s.restart(m, m.process.Kill)
	}
}

// restart ends a process and starts it again. The caller must hold m.mu.
func (s *soak) restart(m *member, end func()) {
	s.endLife(m)
	end()
	if err := m.process.Start(s.Program); err != nil {
		s.violate("%s was not started again: %v", m.process.Name, err)
	}
	m.monitor, m.startedAt = Watch(m.process.PID()), time.Now()
}

// DefaultLimits returns the limits of the processes of a scenario. They are low, so that small floods meet them.
func DefaultLimits() localprocess.Limits {
	return localprocess.Limits{MemoryMB: 64, FileDescriptors: 400}
}
