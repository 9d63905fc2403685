package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/scenario"
)

// ask is what a client wants once, over all its tries.
type ask struct {
	n        int
	class    int
	team     int
	work     float64
	born     time.Duration
	deadline time.Duration
	instance *Instance
	tries    int
	over     bool
}

func (a *ask) origin() string { return fmt.Sprint(a.n) }

// arrive has the next requests come, and so on until the callers' end.
func (w *World) arrive(rate float64) {
	c := w.S.Callers
	now := max(rate*(w.burst+w.flooding())*(1+c.Wave*math.Sin(2*math.Pi*(w.Now()-Origin).Minutes())), 1e-9)
	n, wait := 1, 1/now
	switch c.Arrivals {
	case "poisson":
		wait *= w.asks.ExpFloat64()
	case "groups":
		n = c.Group
		wait *= w.asks.ExpFloat64() * float64(n)
	}
	w.After(time.Duration(wait*float64(time.Second)), func() {
		if w.Now() >= Origin+time.Duration(w.S.Lasts) {
			return
		}
		for range n {
			w.want()
		}
		w.arrive(rate)
	})
}

// want makes a request.
func (w *World) want() {
	s := w.S
	class := scenario.Pick(w.asks, len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	all := w.burst + w.flooding()
	a := &ask{
		n: w.asked, class: class, team: scenario.Pick(w.asks, len(s.Teams), func(i int) float64 {
			return s.Teams[i].Share * (w.burst + w.flood[i]) / all
		}), work: s.Classes[class].Draw(w.asks), born: w.Now(), instance: w.front(),
		deadline: w.Now() + time.Duration(s.Classes[class].Deadline),
	}
	w.asked++
	if w.open >= s.Callers.Most {
		w.Result.Unmade++
		return
	}
	w.open++
	w.Result.ask(w, a)
	w.try(a)
}

// flooding is what teams that flood ask for beyond their share, over what all ask for.
func (w *World) flooding() (sum float64) {
	for i, t := range w.S.Teams {
		sum += t.Share * w.flood[i]
	}
	return sum
}

// front is the instance that a client comes to: one in ten may get several times the mean.
func (w *World) front() *Instance {
	all, hot := w.Tiers[0].Instances, w.S.Callers.Hot
	few := (len(all) + 9) / 10
	share := hot * float64(few) / float64(len(all))
	if hot == 1 || share >= 1 {
		return all[w.asks.IntN(len(all))]
	}
	if w.hot == nil {
		w.hot = Stream(w.seed, "hot", 0).Perm(len(all))
		if w.S.Callers.Row {
			slices.Sort(w.hot)
		}
	}
	if w.asks.Float64() < share {
		return all[w.hot[w.asks.IntN(few)]]
	}
	return all[w.hot[few+w.asks.IntN(len(all)-few)]]
}

// try sends a request to its instance.
func (w *World) try(a *ask) {
	left := a.deadline - w.Now()
	if p := time.Duration(w.S.Callers.Patience); p > 0 {
		left = min(left, p)
	}
	a.tries++
	w.Result.Tries++
	t := &Try{
		ID: decision.RequestID(fmt.Sprintf("%d/%d", a.n, a.tries)), Origin: a.origin(), Class: a.class, Team: a.team,
		Work: a.work, Instance: a.instance, Until: w.Now() + left, Repeat: w.S.Callers.Marks && a.tries > 1, Asker: w, ask: a,
	}
	w.After(w.Latency(), func() { w.brokers.Take(t) })
	w.After(left, func() {
		if t.Heard || a.over {
			return
		}
		t.Heard = true // the client gives the try up
		w.After(w.Latency(), func() { w.brokers.Lapse(t) })
		w.again(a, 0, timedOut)
	})
}

// Hear gives a client the answer to a try.
func (w *World) Hear(t *Try, how string, retryAfter time.Duration) {
	a := t.ask
	if t.Heard || a.over {
		return
	}
	t.Heard = true
	switch {
	case how == Served:
		w.done(a, Served)
	case how == Refused || how == Unheard || w.S.Classes[a.class].Effect != string(decision.Unsafe):
		w.again(a, retryAfter, how)
	default:
		w.done(a, how)
	}
}

// again has a client try once more, if it may and has the time.
func (w *World) again(a *ask, retryAfter time.Duration, how string) {
	c := w.S.Callers
	if how == timedOut && w.S.Classes[a.class].Effect == string(decision.Unsafe) || a.tries >= c.Tries {
		w.done(a, how)
		return
	}
	wait := time.Duration(float64(c.Backoff) * math.Pow(2, float64(a.tries-1)) * (0.5 + 0.5*w.asks.Float64()))
	if c.Honours {
		wait = max(wait, retryAfter)
	}
	if w.Now()+wait >= a.deadline {
		w.done(a, how)
		return
	}
	w.After(wait, func() { w.try(a) })
}

// done is the end of what a client wanted.
func (w *World) done(a *ask, how string) {
	if a.over {
		return
	}
	a.over = true
	w.open--
	w.Result.done(w, a, how)
}
