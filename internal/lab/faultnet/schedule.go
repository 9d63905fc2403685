package faultnet

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"dykering/internal/tomlconfig"
	"dykering/internal/validation"
)

// Step is one fault of a schedule, at a time from its start. Members are named as the fleet names them.
type Step struct {
	At     tomlconfig.Duration `toml:"at" doc:"from the start of the schedule"`
	Do     string              `toml:"do" doc:"what befalls the fleet" oneof:"down loss slow cut heal stop cont kill start"`
	From   string              `toml:"from" doc:"down: the member whose link is dropped"`
	To     string              `toml:"to" doc:"down: the member it no longer reaches"`
	Both   bool                `toml:"both" doc:"down: the link back too"`
	Share  float64             `toml:"share" doc:"loss: the share of packets and streams dropped" min:"0" max:"1"`
	Fixed  tomlconfig.Duration `toml:"fixed" doc:"slow: what each packet waits"`
	Jitter tomlconfig.Duration `toml:"jitter" doc:"slow: up to this much more"`
	Tail   float64             `toml:"tail" doc:"slow: the share that waits tail_by more" min:"0" max:"1"`
	TailBy tomlconfig.Duration `toml:"tail_by" doc:"slow: how much more the tail waits"`
	Sets   [][]string          `toml:"sets" doc:"cut: the sets that nothing passes between"`
	Member string              `toml:"member" doc:"stop, cont, kill, start: the member"`
	As     string              `toml:"as" doc:"start: the id it starts under; empty: its own"`
}

// Schedule is faults in their order.
type Schedule struct {
	Steps []Step `toml:"step"`
}

// Check finds what the keys' bounds do not tell.
func (s *Schedule) Check() []validation.Error {
	var wrong []validation.Error
	for i, st := range s.Steps {
		key := fmt.Sprintf("step[%d]", i)
		switch {
		case i > 0 && st.At < s.Steps[i-1].At:
			wrong = append(wrong, validation.Error{Key: key + ".at", Text: "comes before the step before it"})
		case st.Do == "down" && (st.From == "" || st.To == ""):
			wrong = append(wrong, validation.Error{Key: key, Text: "down needs from and to"})
		case st.Do == "cut" && len(st.Sets) < 2:
			wrong = append(wrong, validation.Error{Key: key + ".sets", Text: "a cut needs two sets at least"})
		case slices.Contains([]string{"stop", "cont", "kill", "start"}, st.Do) && st.Member == "":
			wrong = append(wrong, validation.Error{Key: key + ".member", Text: st.Do + " needs a member"})
		}
	}
	return wrong
}

// LoadSchedule reads a schedule from TOML text, with every fault in it.
func LoadSchedule(name string, text []byte) (*Schedule, []validation.Error) {
	s, _, wrong := tomlconfig.Decode(name, text, func() *Schedule { return &Schedule{} }, nil)
	return s, wrong
}

// Fleet is what a schedule acts on besides the relay: its members' gossip addresses and processes.
type Fleet interface {
	Addr(member string) string
	Signal(member string, s syscall.Signal) error
	Start(member, as string) error
}

// Play carries out a schedule on the relay and the fleet, each step at its time, until its end or ctx's.
func Play(ctx context.Context, s *Schedule, r *Relay, f Fleet) error {
	began := time.Now()
	for i, st := range s.Steps {
		select {
		case <-time.After(time.Until(began.Add(time.Duration(st.At)))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := apply(st, r, f); err != nil {
			return fmt.Errorf("step %d (%s): %w", i, st.Do, err)
		}
	}
	return nil
}

func apply(st Step, r *Relay, f Fleet) error {
	switch st.Do {
	case "down":
		r.Down(f.Addr(st.From), f.Addr(st.To), st.Both)
	case "loss":
		r.Loss(st.Share)
	case "slow":
		r.Slow(Delay{
			Fixed: time.Duration(st.Fixed), Jitter: time.Duration(st.Jitter), Tail: st.Tail,
			TailBy: time.Duration(st.TailBy),
		})
	case "cut":
		sets := make([][]string, len(st.Sets))
		for i, set := range st.Sets {
			for _, m := range set {
				sets[i] = append(sets[i], f.Addr(m))
			}
		}
		r.Cut(sets...)
	case "heal":
		r.Heal()
	case "stop":
		return f.Signal(st.Member, syscall.SIGSTOP)
	case "cont":
		return f.Signal(st.Member, syscall.SIGCONT)
	case "kill":
		return f.Signal(st.Member, syscall.SIGKILL)
	case "start":
		as := st.As
		if as == "" {
			as = st.Member
		}
		return f.Start(st.Member, as)
	}
	return nil
}
