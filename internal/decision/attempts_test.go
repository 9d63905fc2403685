package decision

import (
	"testing"
	"time"
)

func TestStartedStreamIsNeitherCancelledNorRetried(t *testing.T) {
	s := settings()
	s.Classes[read].Streamed = true
	d := start(t, s, 2)
	id := d.request(read)
	d.b.ResponseStarted(d.now, id, 0, d.last().to)
	d.advance(10 * time.Second)
	d.b.Outcome(d.now, Outcome{ID: id, Endpoint: d.last().to, Final: true, Status: Reset})
	if len(d.sent) != 1 || len(d.fails)+len(d.refusals)+len(d.cancels) > 0 {
		t.Error("a started stream was answered, repeated or withdrawn")
	}
}

// A long body counts once the endpoint has all of it: until then the call is neither slow nor overtaken,
// and keeps all of its time. A body of which a part was sent is not sent again.
func TestLongBodyCountsFromItsLastByte(t *testing.T) {
	d := start(t, settings(), 2)
	d.serve(100, nil)
	ask := func(id RequestID) sent {
		d.b.Request(d.now, Request{ID: id, Class: read, Remaining: 1500 * ms, LongBody: true})
		return d.last()
	}
	call := ask("long")
	for range 200 { // it takes longer to come than it has time
		d.serve(1, nil)
	}
	if len(d.cancels) > 0 || d.last().id == "long" && d.last() != call || call.timeout != 0 {
		t.Fatalf("while it came: withdrawn %v, sent %v", d.cancels, call)
	}
	d.b.RequestSent(d.now, "long", 1500*ms)
	d.b.RequestSent(d.now, "long", 1500*ms) // nothing new
	if got := d.b.inFlight; got != 1 {
		t.Errorf("%d calls in flight, want the one", got)
	}
	sends := len(d.sent)
	d.b.Outcome(d.now, Outcome{ID: "long", Endpoint: call.to, Status: Error, NotReplayable: true, Elapsed: 20 * ms})
	if len(d.sent) != sends || len(d.refusals) != 1 {
		t.Errorf("%d more sends, refused %v: a read may be asked again by its client", len(d.sent)-sends, d.refusals)
	}
	call = ask("turned away")
	d.b.Outcome(d.now, Outcome{ID: call.id, Endpoint: call.to, Status: Rejected, NotReplayable: true})
	d.advance(100 * ms)
	call = ask("elsewhere")
	d.finish(call, Rejected, ms)
	if len(d.refusals) != 2 || d.last().id != "elsewhere" || d.last().to == call.to {
		t.Errorf("refused %v, then sent %v: what is still whole goes to another endpoint", d.refusals, d.last())
	}
	d.finish(d.last(), OK, ms)
	for _, e := range d.b.listed {
		if e.uploads != 0 || len(e.calls) != 0 || d.b.inFlight != 0 {
			t.Errorf("endpoint %d: %d coming, %d calls; %d out", e.id, e.uploads, len(e.calls), d.b.inFlight)
		}
	}
}

// The time that a client takes to read a long response says nothing about the endpoint, and uses up none of
// the limit.
func TestStartedResponseFreesEndpoint(t *testing.T) {
	d := start(t, settings(), 2)
	d.serve(100, nil)
	id := d.request(read)
	call := d.last()
	d.advance(20 * ms)
	d.b.ResponseStarted(d.now, id, 0, call.to)
	if d.b.inFlight != 0 || d.b.classes[read].meanLatency > 0.1 {
		t.Errorf("%d out, mean %v", d.b.inFlight, d.b.classes[read].meanLatency)
	}
	d.serve(500, nil) // for ten seconds
	d.b.Outcome(d.now, Outcome{ID: id, Endpoint: call.to, Final: true, Status: Cancelled, Elapsed: 10 * time.Second})
	if mean := d.b.classes[read].meanLatency; mean > 0.1 || d.b.inFlight != 0 || len(d.cancels) > 0 || len(d.b.requests) > 0 {
		t.Errorf("mean %v, %d out, withdrawn %v, %d open", mean, d.b.inFlight, d.cancels, len(d.b.requests))
	}
}

// An outcome, or a started response, that is not of the attempt in flight is ignored: nothing is sent while
// another attempt is in flight, and nothing is answered twice.
func TestOutcomesOfOtherAttemptsAreIgnored(t *testing.T) {
	for name, late := range map[string]func(d *harness, first, now sent){
		"told twice":           func(d *harness, first, _ sent) { d.finish(first, Error, 20*ms) },
		"twice, never ran":     func(d *harness, first, _ sent) { d.finish(first, Rejected, 20*ms) },
		"twice, reset":         func(d *harness, first, _ sent) { d.finish(first, Reset, 20*ms) },
		"twice, timed out":     func(d *harness, first, _ sent) { d.finish(first, Timeout, 20*ms) },
		"of another endpoint":  func(d *harness, first, now sent) { now.to = first.to; d.finish(now, Error, 20*ms) },
		"of one still to come": func(d *harness, _, now sent) { now.attempt++; d.finish(now, Error, 20*ms) },
		"begun":                func(d *harness, first, _ sent) { d.b.ResponseStarted(d.now, first.id, first.attempt, first.to) },
		"after it was over": func(d *harness, _, now sent) {
			d.finish(now, OK, 20*ms)
			d.finish(now, Error, 20*ms)
		},
	} {
		d := start(t, settings(), 4)
		d.serve(60, nil)
		id := d.request(read)
		first := d.last()
		d.finish(first, Error, 20*ms)
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
			d.finish(now, OK, 20*ms)
		}
		if d.b.inFlight != 0 || len(d.b.requests) != 0 || len(d.fails)+len(d.refusals) > 0 {
			t.Errorf("%s: %d out, %d requests, %v failed, %v refused", name, d.b.inFlight, len(d.b.requests), d.fails, d.refusals)
		}
	}
}
