package real

import (
	"errors"
	"time"

	"dykering/internal/lab/model"
)

// Kill kills a process. What it had taken is lost; nobody is to blame but us.
func (st *stage) Kill(in *model.Instance, lasts time.Duration) {
	i := st.of(in)
	if i.process == nil {
		return
	}
	p := i.process
	i.process = nil
	st.excuse(in)
	st.work.Go(p.Kill)
	if lasts >= 0 { // else it stays away, until a schedule of faults starts it
		st.After(lasts, func() { st.succeed(i, nil) })
	}
}

// killedFor is how long an instance that the ground has killed stays away.
const killedFor = 200 * time.Millisecond

// mortal is a process that its ground may kill. Dies is closed when it is about to; the process is killed once Excused has
// been called, since those who are told of a reset before its cause is known would take it for the process's own fault.
type mortal interface {
	Dies() <-chan struct{}
	Excused()
}

// dies is closed when the ground is about to kill a process, nil where it does not; excused lets it.
func dies(p Broker) (_ <-chan struct{}, excused func()) {
	if m, ok := p.(mortal); ok {
		return m.Dies(), m.Excused
	}
	return nil, func() {}
}

// excuse has nothing owed to those who asked an instance.
func (st *stage) excuse(in *model.Instance) {
	for _, t := range st.tries {
		if t.Instance == in {
			t.excused.Store(true)
			t.cancel() // net/http would ask the next process by itself, with the time left of the first
		}
	}
}

// Handover starts a successor, and ends its predecessor when that can serve.
func (st *stage) Handover(in *model.Instance) {
	if i := st.of(in); i.process != nil {
		st.succeed(i, i.process)
	}
}

// succeed starts a process that takes over from another, or from none.
func (st *stage) succeed(i *instance, old Broker) {
	if st.ctx.Err() != nil {
		return
	}
	p, err := st.start(i)
	if err != nil {
		st.fail(err)
		return
	}
	st.work.Go(func() {
		if err := p.Ready(st.ctx); err != nil {
			dies, _ := dies(p)
			select {
			case <-dies:
				return // who watches it starts another
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
				st.work.Go(old.End)
			}
		})
	})
}

// oldPlacesFor is how long a discovery answers that brokers were told to leave.
const oldPlacesFor = time.Second

// staller is a process that can be made to stand still for a while.
type staller interface{ Stall(lasts time.Duration) }

// Befall stops an instance, has it stand still, has its operators drain it for a time, moves its discovery, or has that
// say what is odd.
func (st *stage) InjectFault(in *model.Instance, what string, lasts time.Duration) {
	i := st.of(in)
	p := i.process
	switch {
	case what == "stale" || what == "again":
		i.places.Repeat(what == "stale")
	case p == nil || i.leaving == p:
	case what == "stop" && i.seat.Shared():
		// Where the platform holds the socket there is a successor before anybody is told to end.
		st.succeed(i, p)
	case what == "stop":
		i.leaving = p
		st.work.Go(func() {
			p.End()
			st.post(func() {
				if i.process == p { // else it was killed, and has a successor
					i.process = nil
					st.After(lasts, func() { st.succeed(i, nil) })
				}
			})
		})
	case what == "stall":
		if p, ok := p.(staller); ok {
			st.w.Checker.ProcessStalled(st.Now(), lasts, in.Index)
			st.work.Go(func() { p.Stall(lasts) })
		}
	case what == "away":
		drain := func(on bool) {
			st.work.Go(func() {
				if err := p.Drain(on); err != nil && st.ctx.Err() == nil {
					st.post(func() {
						if i.process == p && i.leaving != p {
							st.fail(err)
						}
					})
				}
			})
		}
		drain(true)
		st.After(lasts, func() {
			if i.process == p {
				drain(false)
			}
		})
	case what == "reload":
		l, err := st.ground.Listen(discoveryName(i.name), i.zone, "")
		if err != nil {
			st.fail(err)
			return
		}
		old := i.places
		i.places = discoveryAt(l, nil)
		old.copyTo(i.places)
		if err = errors.Join(st.configure(i), p.Reload()); err != nil {
			st.fail(err)
		}
		st.After(oldPlacesFor, old.Close)
		st.moved = append(st.moved, old)
	}
}

// Parted is the Sockets'.
func (st *stage) PartitionsChanged() {
	cut := map[[2]string]bool{}
	for _, i := range st.instances {
		for _, s := range i.in.Tier.Servers {
			if st.w.IsPartitioned(i.in, s) {
				cut[[2]string{i.name, serverName(s)}] = true
			}
		}
	}
	if len(cut) == 0 {
		st.ground.Part(nil)
		return
	}
	st.ground.Part(func(a, b string) bool { return cut[[2]string{a, b}] || cut[[2]string{b, a}] })
}
