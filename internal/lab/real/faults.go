package real

import (
	"errors"
	"time"

	"dykering/internal/lab/model"
)

// Kill kills the process of an instance. The checker does not count the requests that are lost with it
// as faults of the broker.
func (run *scenarioRun) Kill(in *model.Instance, duration time.Duration) {
	i := run.instanceOf(in)
	if i.process == nil {
		return
	}
	p := i.process
	i.process = nil
	run.excuseRequests(in)
	run.goroutines.Go(p.Kill)
	if duration >= 0 { // else a "start" step of the network faults starts the next process
		run.After(duration, func() { run.startSuccessor(i, nil) })
	}
}

// restartDelay is the time from the kill of a process by its environment to the start of a new one.
const restartDelay = 200 * time.Millisecond

// killNotifier is implemented by a process that its environment may kill. KillPending is closed when
// the environment is about to kill it. The environment waits for AllowKill, because a client that sees
// the reset before the checker knows of the kill counts it as a fault of the process.
type killNotifier interface {
	KillPending() <-chan struct{}
	AllowKill()
}

// killPending returns the channel that is closed when the environment is about to kill a process, and
// the function that allows the kill. The channel is nil if the environment never kills processes.
func killPending(p Broker) (_ <-chan struct{}, allow func()) {
	if notifier, ok := p.(killNotifier); ok {
		return notifier.KillPending(), notifier.AllowKill
	}
	return nil, func() {}
}

// excuseRequests marks the pending requests of an instance whose process is killed, so that missing
// answers do not count as violations.
func (run *scenarioRun) excuseRequests(in *model.Instance) {
	for _, request := range run.requests {
		if request.Instance == in {
			request.processKilled.Store(true)
			// net/http would otherwise send the request to the next process, with an outdated X-Remaining.
			request.cancel()
		}
	}
}

// Handover starts a successor process and stops the predecessor once the successor can serve.
func (run *scenarioRun) Handover(in *model.Instance) {
	if i := run.instanceOf(in); i.process != nil {
		run.startSuccessor(i, i.process)
	}
}

// startSuccessor starts a new process of an instance and stops the old one, if any, once the new one
// can serve.
func (run *scenarioRun) startSuccessor(i *instance, old Broker) {
	if run.ctx.Err() != nil {
		return
	}
	p, err := run.start(i)
	if err != nil {
		run.fail(err)
		return
	}
	run.goroutines.Go(func() {
		if err := p.Ready(run.ctx); err != nil {
			kill, _ := killPending(p)
			select {
			case <-kill:
				return // the goroutine of start restarts the instance
			default:
			}
			if run.ctx.Err() == nil {
				run.fail(err)
			}
			return
		}
		run.post(func() {
			i.process = p
			if old != nil {
				run.goroutines.Go(old.Stop)
			}
		})
	})
}

// oldDiscoveryRetention is how long a discovery still answers after its broker was reconfigured to use
// another one.
const oldDiscoveryRetention = time.Second

// staller is implemented by a process that can be stopped for a duration as by SIGSTOP.
type staller interface{ Stall(duration time.Duration) }

// InjectFault applies a fault to an instance. "stop" stops its process, "stall" suspends it, "away"
// drains it for a duration, "reload" moves its discovery to another address, and "stale" and "again"
// make its discovery send lists out of order.
func (run *scenarioRun) InjectFault(in *model.Instance, kind string, duration time.Duration) {
	i := run.instanceOf(in)
	p := i.process
	switch {
	case kind == "stale" || kind == "again":
		i.discovery.Repeat(kind == "stale")
	case p == nil || i.stopping == p:
	case kind == "stop" && i.slot.Shared():
		// If the platform holds the socket, it starts a successor before it stops the process.
		run.startSuccessor(i, p)
	case kind == "stop":
		i.stopping = p
		run.goroutines.Go(func() {
			p.Stop()
			run.post(func() {
				if i.process == p { // else the process was killed and has a successor
					i.process = nil
					run.After(duration, func() { run.startSuccessor(i, nil) })
				}
			})
		})
	case kind == "stall":
		if p, ok := p.(staller); ok {
			run.world.Checker.ProcessStalled(run.Now(), duration, in.Index)
			run.goroutines.Go(func() { p.Stall(duration) })
		}
	case kind == "away":
		drain := func(on bool) {
			run.goroutines.Go(func() {
				if err := p.Drain(on); err != nil && run.ctx.Err() == nil {
					run.post(func() {
						if i.process == p && i.stopping != p {
							run.fail(err)
						}
					})
				}
			})
		}
		drain(true)
		run.After(duration, func() {
			if i.process == p {
				drain(false)
			}
		})
	case kind == "reload":
		l, err := run.environment.Listen(discoveryName(i.name), i.zone, "")
		if err != nil {
			run.fail(err)
			return
		}
		old := i.discovery
		i.discovery = serveDiscovery(l, nil)
		old.copyTo(i.discovery)
		if err = errors.Join(run.configure(i), p.Reload()); err != nil {
			run.fail(err)
		}
		run.After(oldDiscoveryRetention, old.Close)
		run.movedDiscoveries = append(run.movedDiscoveries, old)
	}
}

// PartitionsChanged implements model.Sockets: it applies the model's present partitions to the
// environment.
func (run *scenarioRun) PartitionsChanged() {
	cut := map[[2]string]bool{}
	for _, i := range run.instances {
		for _, s := range i.model.Tier.Servers {
			if run.world.IsPartitioned(i.model, s) {
				cut[[2]string{i.name, serverName(s)}] = true
			}
		}
	}
	if len(cut) == 0 {
		run.environment.SetPartition(nil)
		return
	}
	run.environment.SetPartition(func(a, b string) bool { return cut[[2]string{a, b}] || cut[[2]string{b, a}] })
}
