package configsoak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/pause"
)

// machine is a process with its place in the run. The goroutine that has claimed it controls it.
type machine struct {
	process *localprocess.Process
	run     *run
	// settings guards the process's settings, which the replacement of another machine changes.
	settings  sync.Mutex
	startedAt time.Time // zero before the first start
}

const (
	exitPollInterval = 10 * time.Millisecond
	maxSignals       = 4
	// signalAge is the age from which a process is told of new settings. A SIGHUP that comes before a program can ignore it ends the
	// program.
	signalAge      = time.Second
	maxSignalPause = 900 * time.Millisecond
)

func (m *machine) record(action processAction) {
	m.run.recorder.addEvent(m.process.Name, m.process.Role, action)
}

// start starts the process. One that has vanished makes room for it.
func (m *machine) start() error {
	m.process.Kill()
	m.settings.Lock()
	defer m.settings.Unlock()
	m.record(processStarted)
	m.startedAt = time.Now()
	return m.process.Start(m.run.Program)
}

// checkRunning records a violation if the process, which nobody has stopped, has ended. It starts the process again.
func (m *machine) checkRunning() error {
	if !m.process.HasEnded() {
		return nil
	}
	m.record(endedByItself)
	m.run.recorder.addViolation("ENDED", "%s has ended by itself", m.process.Name)
	return m.start()
}

// setSeeds writes the settings file with other seeds. If told is true, the process gets SIGHUP, unless it has just started.
func (m *machine) setSeeds(seeds []string, told bool) error {
	m.settings.Lock()
	defer m.settings.Unlock()
	m.process.Seeds = seeds
	if m.startedAt.IsZero() {
		return nil
	}
	m.record(settingsChanged)
	if err := m.process.WriteSettings(); err != nil {
		return err
	}
	if told && time.Since(m.startedAt) >= signalAge {
		m.signal(syscall.SIGHUP)
	}
	return nil
}

var signalActions = map[syscall.Signal]processAction{
	syscall.SIGTERM: processTerminated, syscall.SIGHUP: processHungUp, syscall.SIGKILL: processKilled,
	syscall.SIGSTOP: processFrozen, syscall.SIGCONT: processThawed,
}

// signal records and sends a signal. A thaw is recorded once it is sent, since the process may not run before.
func (m *machine) signal(s syscall.Signal) {
	m.record(signalActions[s])
	m.process.Signal(s)
}

func (m *machine) kill() {
	m.record(processKilled)
	m.process.Kill()
}

// vanish freezes the process for good. Its address accepts connections and says nothing, as after a loss of power or behind a cut.
func (m *machine) vanish() {
	m.record(machineVanished)
	m.process.Signal(syscall.SIGSTOP)
}

// freeze stops the process for a time without ending it.
func (m *machine) freeze(duration time.Duration) {
	m.signal(syscall.SIGSTOP)
	pause.For(m.run.cancelled, duration)
	m.signal(syscall.SIGCONT)
}

// hangUp sends SIGHUP several times.
func (m *machine) hangUp(random *rand.Rand) {
	for range 1 + random.IntN(maxSignals) {
		m.signal(syscall.SIGHUP)
		pause.For(m.run.cancelled, draw(random, maxSignalPause))
	}
}

// stop sends SIGTERM and further signals in series. It kills the process at the end of its grace period.
func (m *machine) stop(random *rand.Rand) {
	killAt := time.Now().Add(m.run.grace())
	m.signal(syscall.SIGTERM)
	for range random.IntN(maxSignals) {
		pause.For(m.run.cancelled, min(draw(random, maxSignalPause), time.Until(killAt)))
		if m.process.HasEnded() {
			break
		}
		m.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)])
	}
	for !m.process.HasEnded() && time.Now().Before(killAt) {
		time.Sleep(exitPollInterval)
	}
	if !m.process.HasEnded() {
		m.kill()
	}
	m.record(processExited)
}

// startEmpty starts the process without the data of its last life.
func (m *machine) startEmpty() error {
	m.process.Kill()
	if err := m.loseDisk(); err != nil {
		return err
	}
	return m.start()
}

// loseDisk removes the data of a process that has ended.
func (m *machine) loseDisk() error {
	m.record(diskLost)
	return errors.Wrapf(m.process.RemoveData(), "remove the data of %s", m.process.Name)
}

// draw returns a random duration below the limit.
func draw(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
