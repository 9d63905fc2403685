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

// Schedule is a sequence of faults.
type Schedule struct {
	Steps []Step `toml:"step"`
}

// Check finds the faults that the bounds of single keys do not show.
func (s *Schedule) Check() []validation.Error {
	var found []validation.Error
	for i, step := range s.Steps {
		key := fmt.Sprintf("step[%d]", i)
		switch {
		case i > 0 && step.At < s.Steps[i-1].At:
			found = append(found, validation.Error{Key: key + ".at", Text: "comes before the step before it"})
		case step.Do == "down" && (step.From == "" || step.To == ""):
			found = append(found, validation.Error{Key: key, Text: "down needs from and to"})
		case step.Do == "cut" && len(step.Sets) < 2:
			found = append(found, validation.Error{Key: key + ".sets", Text: "a cut needs two sets at least"})
		case slices.Contains([]string{"stop", "cont", "kill", "start"}, step.Do) && step.Member == "":
			found = append(found, validation.Error{Key: key + ".member", Text: step.Do + " needs a member"})
		}
	}
	return found
}

// LoadSchedule reads a schedule from TOML text and returns all faults of the text.
func LoadSchedule(name string, text []byte) (*Schedule, []validation.Error) {
	s, _, found := tomlconfig.Decode(name, text, func() *Schedule { return &Schedule{} }, nil)
	return s, found
}

// Fleet is what a schedule acts on besides the relay: the gossip addresses and the processes of its
// members.
type Fleet interface {
	Addr(member string) string
	Signal(member string, s syscall.Signal) error
	Start(member, as string) error
}

// Play carries out a schedule on the relay and the fleet, each step at its time, until its end or ctx's.
func Play(ctx context.Context, s *Schedule, r *Relay, f Fleet) error {
	began := time.Now()
	for i, step := range s.Steps {
		select {
		case <-time.After(time.Until(began.Add(time.Duration(step.At)))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := apply(step, r, f); err != nil {
			return fmt.Errorf("step %d (%s): %w", i, step.Do, err)
		}
	}
	return nil
}

func apply(step Step, r *Relay, f Fleet) error {
	switch step.Do {
	case "down":
		r.Down(f.Addr(step.From), f.Addr(step.To), step.Both)
	case "loss":
		r.Loss(step.Share)
	case "slow":
		r.Slow(Delay{
			Fixed: time.Duration(step.Fixed), Jitter: time.Duration(step.Jitter), Tail: step.Tail,
			TailBy: time.Duration(step.TailBy),
		})
	case "cut":
		sets := make([][]string, len(step.Sets))
		for i, set := range step.Sets {
			for _, m := range set {
				sets[i] = append(sets[i], f.Addr(m))
			}
		}
		r.Cut(sets...)
	case "heal":
		r.Heal()
	case "stop":
		return f.Signal(step.Member, syscall.SIGSTOP)
	case "cont":
		return f.Signal(step.Member, syscall.SIGCONT)
	case "kill":
		return f.Signal(step.Member, syscall.SIGKILL)
	case "start":
		as := step.As
		if as == "" {
			as = step.Member
		}
		return f.Start(step.Member, as)
	}
	return nil
}
