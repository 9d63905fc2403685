package sidecar

import (
	"errors"
	"log"
	"time"

	"dykering/internal/decision"
	"dykering/internal/handover"
)

const (
	// tellEvery is how often a process that ends tells its successor what it still has in flight: often beside what a
	// call takes, and rarely beside what passing a connection costs.
	tellEvery = 50 * time.Millisecond
	// believedFor is how long a successor goes by the last that it was told: a process that is killed says nothing.
	believedFor = 10 * tellEvery
)

// word is what a process that ends tells its successor of itself.
type word struct {
	Learnt *decision.Learnt            `json:"learnt,omitempty"`
	Calls  map[decision.EndpointID]int `json:"calls,omitempty"`
}

// tell tells the successor what this process has learnt, and, until done, what it has in flight. A successor that
// knows no such word declines it, and is told no more.
func (s *server) tell(done <-chan struct{}) {
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	for first, last := true, false; ; first = false {
		w := word{}
		if !last {
			w = s.word(first)
		}
		if err := s.hand(passage{Word: &w}); err != nil {
			if errors.Is(err, handover.ErrDeclined) {
				log.Printf("handover: the successor takes no figures: %v", err)
			}
			return
		}
		if last {
			return
		}
		select {
		case <-tick.C:
		case <-done:
			last = true // nothing is in flight here any more
		}
	}
}

func (s *server) word(learnt bool) word {
	told := make(chan word, 1)
	s.loop.post(func() {
		w := word{Calls: s.loop.balancer.Calls()}
		if learnt {
			l := s.loop.balancer.Learnt(s.loop.now())
			w.Learnt = &l
		}
		told <- w
	})
	return <-told
}

// heed takes the word of the process before.
func (l *loop) heed(w *word) {
	if w.Learnt != nil {
		if err := l.balancer.Inherit(l.now(), *w.Learnt); err != nil {
			log.Printf("handover: %v; this process learns by itself", err)
		}
	}
	l.balancer.Beside(l.now(), w.Calls, l.now()+believedFor)
}
