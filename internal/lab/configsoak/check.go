package configsoak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dykering/internal/lab/localprocess"
)

// Bounds of the rules that are not in the settings of a local process. They are those of the deployments.
const (
	configurationApply = 2 * time.Second
	rollbackSlack      = 250 * time.Millisecond
	instabilityBound   = 5 * time.Second
)

// traceWindow is how long before a violation the events of its trace begin.
const traceWindow = 8 * time.Second

// Violation is a broken rule.
type Violation struct {
	Rule   string
	At     time.Duration
	Detail string
	Trace  []string // what happened to the processes before
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s\n    %s", v.Rule, v.At.Seconds(), v.Detail, strings.Join(v.Trace, "\n    "))
}

// checker checks the history of a run.
type checker struct {
	*recorder
	contact    time.Duration
	timeline   *timeline
	effective  []*change // valid changes that were not rejected, by version
	violations []Violation
	// longestLag is the longest time for which a proxy handled a request as an older version than an acknowledged one allows, at
	// any time and in touch.
	longestLag, longestLagInTouch time.Duration
}

// check checks the history of a run that has ended.
func check(r *recorder, contact time.Duration) *checker {
	c := &checker{recorder: r, contact: contact, timeline: newTimeline(r.events), violations: r.violations}
	for _, change := range r.changes {
		if change.verdict != rejected {
			c.effective = append(c.effective, change)
		}
	}
	slices.SortStableFunc(c.effective, func(a, b *change) int { return a.version - b.version })
	c.checkRaces()
	c.checkReads()
	for _, o := range r.observations {
		c.checkObservation(o)
	}
	c.checkRegressions()
	return c
}

// describe returns a request's outcome, and how long before its last byte its first one was sent.
func describe(o Observation) string {
	return fmt.Sprintf("%s: %s for %s (sent within %v)", o.Proxy, o.Outcome, o.Path, (o.SentAt - o.BegunAt).Round(time.Millisecond))
}

// add records a violation with the events before it that concern a process and the core.
func (c *checker) add(rule string, at time.Duration, process, format string, arguments ...any) {
	violation := Violation{Rule: rule, At: at, Detail: fmt.Sprintf(format, arguments...)}
	for _, e := range c.events {
		if e.at > at-traceWindow && e.at < at && (e.process == process || e.role == localprocess.Control) {
			violation.Trace = append(violation.Trace, fmt.Sprintf("%.3f s: %s: %s", e.at.Seconds(), e.process, e.action))
		}
	}
	c.violations = append(c.violations, violation)
}

// checkRaces checks that of the changes on one version a single one is in force.
func (c *checker) checkRaces() {
	winners := map[int]*change{}
	for _, change := range c.effective {
		if change.verdict != acknowledged {
			continue
		}
		if other := winners[change.base]; other != nil {
			c.add("RACE", change.knownAt, "", "%v and %v are both in force", other, change)
		}
		winners[change.base] = change
	}
}

// checkReads checks that each read returns a configuration that was sent and not rejected, as it was sent, and none that is older
// than a version that was acknowledged before.
func (c *checker) checkReads() {
	for _, read := range c.reads {
		if read.document.Version == 0 {
			continue
		}
		source := c.changeByMark(read.document.mark())
		switch {
		case source == nil || source.verdict == rejected || source.version != read.document.Version:
			c.add("READ", read.sentAt, read.process, "%s returned version %d, which was not taken", read.process, read.document.Version)
		case !maps.Equal(source.table, read.document.table()):
			c.add("READ", read.sentAt, read.process, "%s returned %v with other routes than were sent", read.process, source)
		}
		for _, change := range c.effective {
			if change.verdict == acknowledged && change.knownAt < read.sentAt && change.version > read.document.Version {
				c.add("READ", read.sentAt, read.process, "%s returned version %d after %v was acknowledged at %.3f s", read.process,
					read.document.Version, change, change.knownAt.Seconds())
				break
			}
		}
	}
}

// staleSince returns when the first version was acknowledged that does not allow a request's outcome, and neither does any later
// version. It returns false if a current version may allow it.
func (c *checker) staleSince(o Observation) (since time.Duration, by *change, stale bool) {
	for _, change := range slices.Backward(c.effective) {
		if change.firstSentAt < o.EndedAt && change.table.allows(o.Path, o.Outcome) {
			break
		}
		if change.verdict == acknowledged && change.knownAt < o.SentAt && (!stale || change.knownAt < since) {
			since, by, stale = change.knownAt, change, true
		}
	}
	return since, by, stale
}

// checkObservation checks that a proxy in touch handles a request as a version allows that is not too old.
func (c *checker) checkObservation(o Observation) {
	if o.Outcome == undecided {
		return
	}
	since, by, stale := c.staleSince(o)
	if !stale {
		return
	}
	lag := o.SentAt - since
	c.longestLag = max(c.longestLag, lag)
	if o.Path == keptPath {
		c.add("DENIED", o.SentAt, o.Proxy, "%s, a route of all versions", describe(o))
		return
	}
	bound, bounded := c.bound(o, since)
	if !bounded {
		return
	}
	c.longestLagInTouch = max(c.longestLagInTouch, lag)
	if lag > bound {
		c.add("LATE", o.SentAt, o.Proxy, "%s, as only older versions than %v allow, which was acknowledged %v before", describe(o), by,
			lag.Round(time.Millisecond))
	}
}

// bound returns the time after which a proxy must follow a version, and whether it must at all.
func (c *checker) bound(o Observation, acknowledgedAt time.Duration) (bound time.Duration, bounded bool) {
	from := o.SentAt - c.contact
	switch {
	case c.timeline.isDisrupted(o.Proxy, from, o.EndedAt):
		return 0, false
	case c.timeline.isCoreStable(from, o.EndedAt):
		return configurationApply, true
	case c.timeline.coreRan(min(acknowledgedAt, from), o.EndedAt):
		return configurationApply + instabilityBound, true
	}
	return 0, false
}

// checkRegressions checks that no proxy returns to an older version within one life of its process.
func (c *checker) checkRegressions() {
	byProxy := map[string][]Observation{}
	for _, o := range c.observations {
		if o.Outcome != undecided {
			byProxy[o.Proxy] = append(byProxy[o.Proxy], o)
		}
	}
	for proxy, observations := range byProxy {
		slices.SortFunc(observations, func(a, b Observation) int { return int(a.SentAt - b.SentAt) })
		c.checkProxyRegressions(proxy, observations)
	}
}

func (c *checker) checkProxyRegressions(proxy string, sent []Observation) {
	ended := slices.Clone(sent)
	slices.SortFunc(ended, func(a, b Observation) int { return int(a.EndedAt - b.EndedAt) })
	life, floor := -1, 0
	for _, o := range sent {
		if current := c.timeline.life(proxy, o.SentAt); current != life {
			life, floor = current, 0
		}
		for len(ended) > 0 && ended[0].EndedAt+rollbackSlack < o.SentAt {
			if c.timeline.life(proxy, ended[0].SentAt) == life {
				floor = max(floor, c.oldestAllowing(ended[0]))
			}
			ended = ended[1:]
		}
		if newest := c.newestAllowing(o); newest < floor && c.timeline.life(proxy, o.EndedAt) == life {
			c.add("REGRESSED", o.SentAt, proxy, "%s, as at the most version %d allows, after version %d was seen there", describe(o), newest, floor)
		}
	}
}

// oldestAllowing returns the lowest version that allows a request's outcome.
func (c *checker) oldestAllowing(o Observation) int {
	if o.Outcome == noRoute {
		return 0 // the state before the first version
	}
	for _, change := range c.effective {
		if change.table.allows(o.Path, o.Outcome) {
			return change.version
		}
	}
	return 0
}

// newestAllowing returns the highest version that allows a request's outcome, of those that were sent by its end.
func (c *checker) newestAllowing(o Observation) int {
	for _, change := range slices.Backward(c.effective) {
		if change.firstSentAt < o.EndedAt && change.table.allows(o.Path, o.Outcome) {
			return change.version
		}
	}
	return 0
}
