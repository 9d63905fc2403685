package decision

import "time"

// This file holds what an instance tells others of endpoints, and takes from them. Which word of others counts is
// decided elsewhere (package replica); here it can do no more than hasten a mark or a trial that own calls would come to.

// Evidence is what an instance knows of an endpoint by its own calls.
type Evidence struct {
	Endpoint EndpointID
	Bad      bool          // it is isolated; otherwise it answered well
	Age      time.Duration // of the last answer of any kind, where it is not bad
}

// Advice is what others' evidence comes to for an endpoint.
type Advice struct {
	Endpoint EndpointID
	Bad      bool          // others have isolated it; otherwise one of them was answered well by it
	Age      time.Duration // of the evidence
}

// evidenceFor is how long a good answer is evidence.
const evidenceFor = 5 * time.Second

// Evidence is what this instance's own calls have shown lately: the endpoints that it has isolated by itself, and of
// those named the ones that answered well. An isolation on the word of others is none, until a trial of it failed.
func (b *Balancer) Evidence(now time.Duration, named []EndpointID) (all []Evidence) {
	for _, e := range b.shunned {
		if e.advised == 0 || e.trialPause != e.advised {
			all = append(all, Evidence{Endpoint: e.id, Bad: true})
		}
	}
	for _, id := range named {
		e := b.byID[id]
		if e == nil || !e.rostered || e.mark > ramping || e.lastAnswer == 0 || e.errors >= ejectAt/2 {
			continue
		}
		if age := now - e.lastAnswer; age <= evidenceFor {
			all = append(all, Evidence{Endpoint: id, Age: age})
		}
	}
	return all
}

// Advise takes the word of others, and tells how much of it changed anything. Own evidence decides: an endpoint that
// has answered this instance since is not marked, the share of the list that may be isolated holds, and an isolated
// endpoint gets its trial as soon as a request can make it.
func (b *Balancer) Advise(now time.Duration, advice []Advice) (heeded int) {
	for _, a := range advice {
		e := b.byID[a.Endpoint]
		switch {
		case e == nil || !e.rostered:
		case a.Bad && e.mark <= ramping && e.lastAnswer < now-a.Age && b.mayEject():
			b.isolate(now, e, "by the word of others")
			e.advised = e.trialPause
			heeded++
		case !a.Bad && e.mark == isolated && e.trialAt > now && now-e.hastened >= e.trialPause:
			// One trial a pause, that doubles with each that fails: whoever says otherwise all day costs no more.
			e.trialAt, e.trialFrom, e.hastened = now, b.answered, now
			heeded++
		}
	}
	if heeded > 0 {
		b.place(now)
		b.arm()
	}
	return heeded
}
