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

// Step is one fault of a schedule. At counts from the start of the schedule, and members are named by
// their ids in the fleet.
type Step struct {
	At     tomlconfig.Duration `toml:"at" doc:"from the start of the schedule"`
	Do     string              `toml:"do" doc:"the kind of fault" oneof:"down loss slow cut heal stop cont kill start"`
	From   string              `toml:"from" doc:"down: the member whose link is dropped"`
	To     string              `toml:"to" doc:"down: the member at the other end of the link"`
	Both   bool                `toml:"both" doc:"down: drop both directions of the link"`
	Share  float64             `toml:"share" doc:"loss: the share of packets and new streams that is dropped" min:"0" max:"1"`
	Fixed  tomlconfig.Duration `toml:"fixed" doc:"slow: the delay of each packet"`
	Jitter tomlconfig.Duration `toml:"jitter" doc:"slow: the upper bound of the random additional delay"`
	Tail   float64             `toml:"tail" doc:"slow: the share of packets that is delayed by tail_by in addition" min:"0" max:"1"`
	TailBy tomlconfig.Duration `toml:"tail_by" doc:"slow: the additional delay of the share tail"`
	Sets   [][]string          `toml:"sets" doc:"cut: the sets of members between which nothing passes"`
	Member string              `toml:"member" doc:"stop, cont, kill, start: the member whose process is affected"`
	As     string              `toml:"as" doc:"start: the id under which the process starts; empty: the id of the member"`
}

// Schedule is a sequence of faults in the order of their times.
type Schedule struct {
	Steps []Step `toml:"step"`
}

// Check returns the errors that concern several keys or steps. The decoder checks the bounds of single
// keys.
func (s *Schedule) Check() []validation.Error {
	var found []validation.Error
	for i, step := range s.Steps {
		key := fmt.Sprintf("step[%d]", i)
		switch {
		case i > 0 && step.At < s.Steps[i-1].At:
			found = append(found, validation.Error{Key: key + ".at", Text: "comes before the time of the previous step"})
		case step.Do == "down" && (step.From == "" || step.To == ""):
			found = append(found, validation.Error{Key: key, Text: "down needs from and to"})
		case step.Do == "cut" && len(step.Sets) < 2:
			found = append(found, validation.Error{Key: key + ".sets", Text: "a cut needs two sets or more"})
		case slices.Contains([]string{"stop", "cont", "kill", "start"}, step.Do) && step.Member == "":
			found = append(found, validation.Error{Key: key + ".member", Text: step.Do + " needs a member"})
		}
	}
	return found
}

// LoadSchedule reads a schedule from TOML text. It returns all errors in the text.
func LoadSchedule(name string, text []byte) (*Schedule, []validation.Error) {
	s, _, found := tomlconfig.Decode(name, text, func() *Schedule { return &Schedule{} }, nil)
	return s, found
}

// Fleet gives a schedule access to the members of a fleet.
type Fleet interface {
	// Addr returns the gossip address of a member.
	Addr(member string) string
	// Signal sends a signal to the process of a member.
	Signal(member string, s syscall.Signal) error
	// Start starts a process of a member under the id as.
	Start(member, as string) error
}

// Play applies the steps of a schedule to the relay and the fleet, each at its time. It returns after the
// last step, at the first error or when ctx ends.
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
