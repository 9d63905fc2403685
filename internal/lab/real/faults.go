package real

import (
	"errors"
	"time"

	"dykering/internal/lab/model"
)

// Kill kills the process of an instance. Its requests are lost, and the process is not blamed for
// that.
func (st *stage) Kill(in *model.Instance, duration time.Duration) {
	i := st.instanceOf(in)
	if i.process == nil {
		return
	}
	p := i.process
	i.process = nil
	st.excuseRequests(in)
	st.goroutines.Go(p.Kill)
	if duration >= 0 { // else it stays away until a step of the network faults starts it
		st.After(duration, func() { st.startSuccessor(i, nil) })
	}
}

// restartDelay is how long an instance stays away whose process was killed by the environment.
const restartDelay = 200 * time.Millisecond

// killNotifier is a process that its environment may kill. KillPending is closed when that is about
// to happen. The process is killed after AllowKill: a client that saw the reset earlier would count
// it as the process's own fault.
type killNotifier interface {
	KillPending() <-chan struct{}
	AllowKill()
}

// killPending returns the channel that is closed when the environment is about to kill a process,
// nil where it never does, and the function that allows it.
func killPending(p Broker) (_ <-chan struct{}, allow func()) {
	if m, ok := p.(killNotifier); ok {
		return m.KillPending(), m.AllowKill
	}
	return nil, func() {}
}

// excuseRequests records that an instance owes no answers, since its process is killed.
func (st *stage) excuseRequests(in *model.Instance) {
	for _, t := range st.requests {
		if t.Instance == in {
			t.processKilled.Store(true)
			t.cancel() // net/http would ask the next process by itself, with the time left of the first
		}
	}
}

// Handover starts a successor, and stops the predecessor when the successor can serve.
func (st *stage) Handover(in *model.Instance) {
	if i := st.instanceOf(in); i.process != nil {
		st.startSuccessor(i, i.process)
	}
}

// startSuccessor starts a process in place of another one, or of none.
func (st *stage) startSuccessor(i *instance, old Broker) {
	if st.ctx.Err() != nil {
		return
	}
	p, err := st.start(i)
	if err != nil {
		st.fail(err)
		return
	}
	st.goroutines.Go(func() {
		if err := p.Ready(st.ctx); err != nil {
			dies, _ := killPending(p)
			select {
			case <-dies:
				return // the goroutine that watches it starts another
			default:
			}
			if st.ctx.Err() == nil {
				st.fail(err)
			}
			return
		}
		st.post(func() {
			i.process = p
			if old != nil {
				st.goroutines.Go(old.Stop)
			}
		})
	})
}

// oldDiscoveryRetention is how long a discovery answers after the brokers were told to use another
// one.
const oldDiscoveryRetention = time.Second

// staller is a process that can be stalled for a duration.
type staller interface{ Stall(lasts time.Duration) }

// InjectFault stops an instance, stalls it, has its operators drain it for a time, moves its
// discovery to another address, or has its discovery send lists out of order.
func (st *stage) InjectFault(in *model.Instance, kind string, duration time.Duration) {
	i := st.instanceOf(in)
	p := i.process
	switch {
	case kind == "stale" || kind == "again":
		i.discovery.Repeat(kind == "stale")
	case p == nil || i.stopping == p:
	case kind == "stop" && i.slot.Shared():
		// Where the platform holds the socket a successor starts before the process is told to stop.
		st.startSuccessor(i, p)
	case kind == "stop":
		i.stopping = p
		st.goroutines.Go(func() {
			p.Stop()
			st.post(func() {
				if i.process == p { // else it was killed and has a successor
					i.process = nil
					st.After(duration, func() { st.startSuccessor(i, nil) })
				}
			})
		})
	case kind == "stall":
		if p, ok := p.(staller); ok {
			st.world.Checker.ProcessStalled(st.Now(), duration, in.Index)
			st.goroutines.Go(func() { p.Stall(duration) })
		}
	case kind == "away":
		drain := func(on bool) {
			st.goroutines.Go(func() {
				if err := p.Drain(on); err != nil && st.ctx.Err() == nil {
					st.post(func() {
						if i.process == p && i.stopping != p {
							st.fail(err)
						}
					})
				}
			})
		}
		drain(true)
		st.After(duration, func() {
			if i.process == p {
				drain(false)
			}
		})
	case kind == "reload":
		l, err := st.environment.Listen(discoveryName(i.name), i.zone, "")
		if err != nil {
			st.fail(err)
			return
		}
		old := i.discovery
		i.discovery = serveDiscovery(l, nil)
		old.copyTo(i.discovery)
		if err = errors.Join(st.configure(i), p.Reload()); err != nil {
			st.fail(err)
		}
		st.After(oldDiscoveryRetention, old.Close)
		st.movedDiscoveries = append(st.movedDiscoveries, old)
	}
}

// PartitionsChanged implements model.Sockets.
func (st *stage) PartitionsChanged() {
	cut := map[[2]string]bool{}
	for _, i := range st.instances {
		for _, s := range i.model.Tier.Servers {
			if st.world.IsPartitioned(i.model, s) {
				cut[[2]string{i.name, serverName(s)}] = true
			}
		}
	}
	if len(cut) == 0 {
		st.environment.SetPartition(nil)
		return
	}
	st.environment.SetPartition(func(a, b string) bool { return cut[[2]string{a, b}] || cut[[2]string{b, a}] })
}
