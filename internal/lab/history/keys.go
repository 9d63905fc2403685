package history

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/samber/lo"
)

// put is a put of a key with all its attempts. Each put writes a unique value.
type put struct {
	key       string
	attempts  []*Call
	revision  uint64 // 0 while unknown
	firstSeen *Call  // first answer that contains the revision
}

// firstAttempt returns the earliest attempt of the put.
func (p *put) firstAttempt() *Call { return p.attempts[0] }

// isRejected reports whether the put can never take effect. A 412 rules out all attempts, since a revision that the key has passed
// never comes back. Any other rejection rules out its own attempt only.
func (p *put) isRejected() bool {
	return lo.SomeBy(p.attempts, func(attempt *Call) bool { return attempt.Status == http.StatusPreconditionFailed }) ||
		lo.EveryBy(p.attempts, func(attempt *Call) bool { return attempt.rejected() })
}

// observation is a value of a key at a revision, as one answer contains it.
type observation struct {
	Event
	call *Call
}

// keyChecker checks the keys of one group.
type keyChecker struct {
	*checker
	group        string
	calls        []*Call
	puts         map[string]*put // by value
	byRevision   map[uint64]*put
	observations []observation
}

// groupOf returns the group of a key, which is the prefix up to and including the first dot.
func groupOf(name string) string {
	prefix, _, found := strings.Cut(name, ".")
	if !found {
		return name
	}
	return prefix + "."
}

// checkKeys checks the puts, reads and watches of each group of keys.
func (c *checker) checkKeys() {
	calls := lo.Filter(c.calls, func(call *Call, _ int) bool {
		return call.Operation == Put || call.Operation == Read || call.Operation == Watch
	})
	for group, ofGroup := range lo.GroupBy(calls, func(call *Call) string { return groupOf(call.Name) }) {
		k := &keyChecker{checker: c, group: group, calls: ofGroup, puts: map[string]*put{}, byRevision: map[uint64]*put{}}
		k.collect()
		k.checkObservations()
		k.checkRevisions()
		k.checkReads()
		k.checkPreconditions()
		k.checkWatches()
	}
}

// collect gathers the puts, and the values and revisions that answers contain.
func (k *keyChecker) collect() {
	for _, call := range k.calls {
		switch {
		case call.Operation == Put:
			p := k.puts[call.Value]
			if p == nil {
				p = &put{key: call.Name}
				k.puts[call.Value] = p
			}
			p.attempts = append(p.attempts, call)
			if call.succeeded() {
				k.observe(call, Event{Name: call.Name, Value: call.Value, Revision: call.Revision})
			}
		case call.Operation == Read && call.succeeded():
			k.observe(call, Event{Name: call.Name, Value: call.Value, Revision: call.Revision})
		case call.Operation == Watch && call.succeeded():
			for _, event := range call.Events {
				k.observe(call, event)
			}
		}
	}
}

func (k *keyChecker) observe(call *Call, event Event) {
	k.observations = append(k.observations, observation{Event: event, call: call})
}

// checkObservations checks that each observed value was put to its key, was not rejected, and has one revision of its own.
func (k *keyChecker) checkObservations() {
	for _, s := range k.observations {
		p := k.puts[s.Value]
		if p == nil || p.key != s.Name || p.firstAttempt().Sent > s.call.Received {
			k.addViolation(Mixed, fmt.Sprintf("value %s was not put to %s", s.Value, s.Name), s.call)
			continue
		}
		if p.isRejected() {
			k.addViolation(Refused, fmt.Sprintf("value %s of %s is visible although its put was rejected", s.Value, s.Name), append(p.attempts, s.call)...)
		}
		if p.revision != 0 && p.revision != s.Revision {
			k.addViolation(Mixed, fmt.Sprintf("value %s of %s has both revision %d and revision %d", s.Value, s.Name, p.revision, s.Revision), p.firstSeen, s.call)
			continue
		}
		if other := k.byRevision[s.Revision]; other != nil && other != p {
			k.addViolation(Order, fmt.Sprintf("revision %d of %s is handed out twice", s.Revision, k.group), other.firstSeen, s.call)
			continue
		}
		if s.Revision == 0 {
			k.addViolation(Order, fmt.Sprintf("value %s of %s has revision 0", s.Value, s.Name), s.call)
			continue
		}
		if p.revision == 0 {
			p.revision, p.firstSeen = s.Revision, s.call
			k.byRevision[s.Revision] = p
		}
	}
}

// checkRevisions checks that the revision of a put is above all revisions that were known when the put was sent. It also checks
// that the precondition of each successful put held.
func (k *keyChecker) checkRevisions() {
	for _, p := range k.byRevision {
		for _, call := range k.calls {
			known := call.succeeded() || call.Status == http.StatusPreconditionFailed
			if known && call.answeredBefore(p.firstAttempt()) && call.Revision >= p.revision {
				k.addViolation(Order, fmt.Sprintf("a put of %s gets revision %d after revision %d was known", p.key, p.revision, call.Revision),
					call, p.firstAttempt(), p.firstSeen)
				break
			}
		}
		if !p.firstAttempt().Conditional {
			continue
		}
		required := p.firstAttempt().IfRevision
		for _, other := range k.byRevision {
			if other.key == p.key && required < other.revision && other.revision < p.revision {
				k.addViolation(Order, fmt.Sprintf("a put of %s conditional on revision %d succeeds over revision %d", p.key, required, other.revision),
					other.firstAttempt(), other.firstSeen, p.firstAttempt(), p.firstSeen)
			}
		}
	}
}

// checkReads checks that a read returns at least the puts of its key that were acknowledged before it was sent. A 404 counts as
// revision 0.
func (k *keyChecker) checkReads() {
	acknowledged := lo.Filter(k.calls, func(call *Call, _ int) bool { return call.Operation == Put && call.succeeded() })
	for _, read := range k.calls {
		if read.Operation != Read || !read.succeeded() && read.Status != http.StatusNotFound {
			continue
		}
		for _, write := range acknowledged {
			if write.Name == read.Name && write.answeredBefore(read) && read.Revision < write.Revision {
				k.addAnswerViolation(read, Stale, fmt.Sprintf("%s is read at revision %d after revision %d was acknowledged", read.Name, read.Revision,
					write.Revision), write)
				break
			}
		}
	}
}

// checkPreconditions checks that the revision in a 412 answer is a revision of the key. A put without a definite answer that no
// client has observed may have any one revision.
func (k *keyChecker) checkPreconditions() {
	unexplained := map[string]map[uint64]*Call{} // by key
	for _, call := range k.calls {
		if call.Operation != Put || call.Status != http.StatusPreconditionFailed || call.Revision == 0 {
			continue
		}
		p := k.byRevision[call.Revision]
		if p == nil {
			if unexplained[call.Name] == nil {
				unexplained[call.Name] = map[uint64]*Call{}
			}
			unexplained[call.Name][call.Revision] = call
			continue
		}
		if p.key != call.Name || p.firstAttempt().Sent > call.Received {
			k.addViolation(Mixed, fmt.Sprintf("a 412 for %s contains revision %d, which belongs to another put", call.Name, call.Revision), p.firstAttempt(), call)
		}
	}
	for key, revisions := range unexplained {
		unseen := lo.CountBy(lo.Values(k.puts), func(p *put) bool { return p.key == key && p.revision == 0 && !p.isRejected() })
		if len(revisions) > unseen {
			k.addViolation(Mixed, fmt.Sprintf("412 answers for %s contain %d unknown revisions, but only %d puts have an unknown outcome", key, len(revisions), unseen),
				lo.Values(revisions)...)
		}
	}
}
