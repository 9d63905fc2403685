package coresim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of trouble.
type Kind string

// The kinds.
const (
	Kill      Kind = "kill"        // the process ends and starts again
	Freeze    Kind = "freeze"      // the machine stands still
	Isolate   Kind = "isolate"     // cut off from all others, both ways
	OneWay    Kind = "one-way"     // what it sends does not arrive
	DeafWay   Kind = "deaf"        // what others send it does not arrive
	Stall     Kind = "stall"       // its disk answers nothing
	Wipe      Kind = "wipe"        // its process ends and its disk is lost
	Replace   Kind = "replace"     // it is gone for good, an empty one comes at another address
	KillAll   Kind = "kill-all"    // all processes end at once
	WipeOfAll Kind = "wipe-of-all" // all end at once, one with its disk lost
)

var kinds = []Kind{Kill, Freeze, Isolate, OneWay, DeafWay, Stall, Wipe, Replace, KillAll, WipeOfAll}

// Step is one trouble of a schedule.
type Step struct {
	At     time.Duration
	Kind   Kind
	Member int
	For    time.Duration
}

func (s Step) String() string { return fmt.Sprintf("%v %s m%d for %v", s.At, s.Kind, s.Member, s.For) }

// Schedule is a world and its troubles.
type Schedule struct {
	Options Options
	Steps   []Step
}

const (
	calmStart = 2 * time.Second
	// catchUp is how long a member that is back counts as lost.
	catchUp    = 4 * time.Second
	calmEnd    = 8 * time.Second
	progressIn = 4 * time.Second
	mostSteps  = 8
	longest    = 5 * time.Second
	mostGap    = 3 * time.Second
)

// Draw draws a schedule.
func Draw(seed uint64, flaw Flaw) Schedule {
	random := rand.New(rand.NewPCG(seed, 2))
	s := Schedule{Options: Options{Seed: seed, Members: 3, MostFailures: 1, Flaw: flaw}}
	if random.IntN(3) == 0 {
		s.Options.Members, s.Options.MostFailures = 5, 2
	}
	at := calmStart
	for range 1 + random.IntN(mostSteps) {
		at += time.Duration(random.Int64N(int64(mostGap)))
		s.Steps = append(s.Steps, Step{At: at, Kind: kinds[random.IntN(len(kinds))], Member: random.IntN(s.Options.Members),
			For: 100*time.Millisecond + time.Duration(random.Int64N(int64(longest)))})
	}
	return s
}

// Play plays a schedule and tells which promise was broken, if any.
func (s Schedule) Play() error {
	_, err := s.play()
	return err
}

// play plays a schedule, and tells also what it has covered.
func (s Schedule) play() (Coverage, error) {
	w := NewWorld(s.Options)
	var end time.Duration
	losses := &losses{world: w, until: map[int]time.Duration{}}
	for _, step := range s.Steps {
		end = max(end, step.At+step.For)
		w.at(step.At, func() { losses.begin(step) })
	}
	if err := w.Run(end + calmEnd); err != nil {
		return w.coverage, err
	}
	if !w.Progress(progressIn) {
		if w.checker.broken != nil {
			return w.coverage, w.checker.broken
		}
		return w.coverage, fmt.Errorf("nothing is acknowledged in %v of calm: %+v", progressIn, w.State())
	}
	return w.coverage, nil
}

// losses keeps troubles within what is to be borne: those that lose a member wait for others to be back.
type losses struct {
	world *World
	until map[int]time.Duration // by member, when it no longer counts as lost
}

func (l *losses) count(except int) int {
	n := 0
	for member, until := range l.until {
		if member != except && until > l.world.now {
			n++
		}
	}
	return n
}

func (l *losses) begin(step Step) {
	w := l.world
	m := w.machines[step.Member]
	if m.removed || !m.up {
		return
	}
	room := l.count(step.Member) < w.options.MostFailures
	switch step.Kind {
	case KillAll, WipeOfAll:
		if step.Kind == WipeOfAll && !room {
			return
		}
		w.note(step.Kind, m)
		l.killAll(step)
		return
	case Wipe, Replace:
		if !room || l.until[step.Member] > w.now {
			return
		}
	default:
		if !room {
			return
		}
	}
	l.until[step.Member] = w.now + step.For + catchUp
	w.note(step.Kind, m)
	l.one(step, m)
}

func (l *losses) one(step Step, m *machine) {
	w := l.world
	switch step.Kind {
	case Kill:
		m.kill()
		w.after(step.For, func() { m.restart() })
	case Freeze:
		m.frozenUntil = w.now + step.For
	case Isolate:
		w.isolate(m, step.For, true, true)
	case OneWay:
		w.isolate(m, step.For, true, false)
	case DeafWay:
		w.isolate(m, step.For, false, true)
	case Stall:
		m.stalledUntil = w.now + step.For
	case Wipe:
		m.kill()
		m.wipe()
		w.after(step.For, func() { m.restart() })
	case Replace:
		m.kill()
		m.removed = true
		w.spares++
		fresh := w.addMachine(fmt.Sprintf("n%d", w.spares))
		w.after(step.For, func() { fresh.start(false) })
	}
}

// killAll ends all processes. A member that was lost before, or loses its disk now, counts as lost until it is back and
// has had its time.
func (l *losses) killAll(step Step) {
	w := l.world
	for member, until := range l.until {
		if until > w.now { // it, or who takes its place, catches up only once all are back
			l.until[member] = max(until, w.now+step.For*3/2+catchUp)
		}
	}
	for i, m := range w.machines {
		if m.removed || !m.up {
			continue
		}
		m.kill()
		down := step.For/2 + time.Duration(w.random.Int64N(int64(step.For)))
		wiped := step.Kind == WipeOfAll && i == step.Member
		if wiped {
			m.wipe()
		}
		if wiped {
			l.until[i] = w.now + step.For*3/2 + catchUp // a majority is back by then
		}
		w.after(down, func() { m.restart() })
	}
}

func (m *machine) restart() {
	if !m.up && !m.removed {
		m.frozenUntil = 0
		m.start(false)
	}
}

func (w *World) isolate(m *machine, d time.Duration, out, in bool) {
	for _, other := range w.machines {
		if other == m {
			continue
		}
		if out {
			w.cut(m.address, other.address, d)
		}
		if in {
			w.cut(other.address, m.address, d)
		}
	}
}
