package decision

import (
	"testing"
)

// An outcome, or the beginning of an answer, that is of no attempt that is out is passed over: nothing is sent while
// another attempt is out, and nothing is answered twice.
func TestOutcomesOfOtherAttempts(t *testing.T) {
	for name, late := range map[string]func(d *bed, first, now sent){
		"told twice":           func(d *bed, first, now sent) { d.end(first, Error, 20*ms) },
		"twice, never ran":     func(d *bed, first, now sent) { d.end(first, Full, 20*ms) },
		"twice, reset":         func(d *bed, first, now sent) { d.end(first, Reset, 20*ms) },
		"twice, timed out":     func(d *bed, first, now sent) { d.end(first, Timeout, 20*ms) },
		"of another endpoint":  func(d *bed, first, now sent) { now.to = first.to; d.end(now, Error, 20*ms) },
		"of one still to come": func(d *bed, first, now sent) { now.attempt++; d.end(now, Error, 20*ms) },
		"begun":                func(d *bed, first, now sent) { d.b.Begun(d.now, first.id, first.attempt, first.to) },
		"after it was over": func(d *bed, first, now sent) {
			d.end(now, OK, 20*ms)
			d.end(now, Error, 20*ms)
		},
	} {
		d := start(t, settings(), 4)
		d.serve(60, nil)
		id := d.ask(read)
		first := d.last()
		d.end(first, Error, 20*ms)
		now := d.last()
		if now.id != id || now.attempt != 1 {
			t.Fatalf("%s: %v is not sent again", name, first)
		}
		sends := len(d.sent)
		late(d, first, now)
		over := d.b.requests[id] == nil
		if len(d.sent) != sends || len(d.fails)+len(d.refusals) > 0 || over != (name == "after it was over") {
			t.Errorf("%s: %d sent, %v failed, %v refused, over %v", name, len(d.sent)-sends, d.fails, d.refusals, over)
		}
		if !over {
			d.end(now, OK, 20*ms)
		}
		if d.b.out != 0 || len(d.b.requests) != 0 || len(d.fails)+len(d.refusals) > 0 {
			t.Errorf("%s: %d out, %d requests, %v failed, %v refused", name, d.b.out, len(d.b.requests), d.fails, d.refusals)
		}
	}
}
