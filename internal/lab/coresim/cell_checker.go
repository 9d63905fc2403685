package coresim

import (
	"fmt"
	"time"

	"dykering/internal/coordination"
)

// cellChecker checks the guarantees ORDER, STALE, MIXED, REFUSED and LOST of cells and watches by what the callers see. The
// revisions of a group are its order, so that a read need only be compared with what had been shown when it was sent; no
// search for an order is needed.
type cellChecker struct {
	violation error
	// historyKept is for how long after a revision was given a watch may resume from it.
	historyKept time.Duration
	// puts are all puts, by value.
	puts map[string]*putRecord
	// shown are the puts that some caller has seen, by group and revision.
	shown map[string]map[uint64]*putRecord
	// highestOfCell and highestOfGroup are the highest revisions shown.
	highestOfCell, highestOfGroup map[string]uint64
	// conflicts are the revisions that rejected puts were told.
	conflicts []conflict
	// spans are the answers of watches.
	spans []watchSpan
	// Counts of what was seen.
	acks, rejections, reads, watches int
}

// putRecord is a put of a value, which is unique.
type putRecord struct {
	cell, value string
	conditional bool
	ifRevision  uint64
	// floor is the highest revision of the group that had been shown when the put was first sent.
	floor uint64
	// acknowledged counts the acknowledgements of the put.
	acknowledged int
	// rejected is set once it is certain that the put was not executed and never will be.
	rejected bool
	// revision is 0 while nobody has seen it.
	revision uint64
}

type conflict struct {
	cell     string
	revision uint64
}

// watchSpan is an answer of a watch: it has all puts of the group above after and up to upTo.
type watchSpan struct {
	group       string
	after, upTo uint64
	events      map[uint64]bool
}

func newCellChecker(historyKept time.Duration) *cellChecker {
	return &cellChecker{
		historyKept:    historyKept,
		puts:           map[string]*putRecord{},
		shown:          map[string]map[uint64]*putRecord{},
		highestOfCell:  map[string]uint64{},
		highestOfGroup: map[string]uint64{},
	}
}

func (c *cellChecker) fail(format string, arguments ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, arguments...)
	}
}

// begin records that a put is sent for the first time.
func (c *cellChecker) begin(put putRecord) {
	put.floor = c.highestOfGroup[coordination.GroupOf(put.cell)]
	c.puts[put.value] = &put
}

// show records that a caller sees a value of a cell under a revision.
func (c *cellChecker) show(cell, value string, revision uint64) {
	group := coordination.GroupOf(cell)
	put := c.puts[value]
	if c.shown[group] == nil {
		c.shown[group] = map[uint64]*putRecord{}
	}
	other := c.shown[group][revision]
	switch {
	case put == nil || put.cell != cell:
		c.fail("MIXED: %s shows %q, which nobody put there", cell, value)
		return
	case put.rejected:
		c.fail("REFUSED: %s shows %q under revision %d, whose put was rejected", cell, value, revision)
	case put.revision != 0 && put.revision != revision:
		c.fail("MIXED: %q is shown under the revisions %d and %d", value, put.revision, revision)
	case other != nil && other != put:
		c.fail("ORDER: revision %d of %s has %q and %q", revision, group, other.value, value)
	case revision <= put.floor:
		c.fail("ORDER: %q has revision %d, and %d was shown before its put was sent", value, revision, put.floor)
	}
	put.revision = revision
	c.shown[group][revision] = put
	c.highestOfCell[cell] = max(c.highestOfCell[cell], revision)
	c.highestOfGroup[group] = max(c.highestOfGroup[group], revision)
}

// acknowledge records that a put was acknowledged.
func (c *cellChecker) acknowledge(value string, revision uint64) {
	c.acks++
	c.puts[value].acknowledged++
	c.show(c.puts[value].cell, value, revision)
}

// reject records that a put was not executed and never will be.
func (c *cellChecker) reject(value string) {
	put := c.puts[value]
	c.rejections++
	put.rejected = true
	if put.revision != 0 {
		c.fail("REFUSED: the put of %q is rejected, which was shown under revision %d", value, put.revision)
	}
}

// checkConflict checks a rejection for the revision that a cell has. Floor is the highest revision of the cell that had been
// shown when the call was sent.
func (c *cellChecker) checkConflict(value string, revision, floor uint64) {
	put := c.puts[value]
	c.conflicts = append(c.conflicts, conflict{cell: put.cell, revision: revision})
	switch {
	case revision < floor:
		c.fail("STALE: a conflict on %s names revision %d, and %d was shown before", put.cell, revision, floor)
	case revision == put.ifRevision:
		c.fail("MIXED: a put to %s is rejected for the revision %d that it asks for", put.cell, revision)
	}
}

// checkRead checks the result of a read; revision 0 stands for no cell. Floor is as for checkConflict.
func (c *cellChecker) checkRead(cell string, result coordination.Result, floor uint64) {
	c.reads++
	if result.Revision < floor {
		c.fail("STALE: a read of %s shows revision %d, and %d was shown before it was sent", cell, result.Revision, floor)
	}
	if result.Found {
		c.show(cell, result.Value, result.Revision)
	}
}

// checkGroup checks the present revision of a group. Floor is the highest one that had been shown when the call was sent.
func (c *cellChecker) checkGroup(group string, revision, floor uint64) {
	if revision < floor {
		c.fail("STALE: %s is at revision %d, and %d was shown before the call was sent", group, revision, floor)
	}
}

// checkWatch checks the answer of a watch.
func (c *cellChecker) checkWatch(group string, after, upTo uint64, events []coordination.Event) {
	c.watches++
	span := watchSpan{group: group, after: after, upTo: upTo, events: map[uint64]bool{}}
	previous := after
	for _, event := range events {
		if event.Revision <= previous || event.Revision > upTo || coordination.GroupOf(event.Name) != group {
			c.fail("ORDER: a watch of %s after %d, up to %d, has %s under revision %d after %d", group, after, upTo, event.Name,
				event.Revision, previous)
		}
		previous = event.Revision
		span.events[event.Revision] = true
		c.show(event.Name, event.Value, event.Revision)
	}
	if upTo < after {
		c.fail("ORDER: a watch of %s after %d is answered up to %d", group, after, upTo)
	}
	c.spans = append(c.spans, span)
}

// historyGone checks that a watch is told that its revision is too old, which it was given at a time.
func (c *cellChecker) checkHistoryGone(now time.Duration, group string, after uint64, givenAt time.Duration) {
	if now-givenAt < c.historyKept {
		c.fail("LOST: a watch of %s is told that the history after %d is gone, %v after it was given that", group, after, now-givenAt)
	}
}

// checkAll checks, at the end, what needs the knowledge of all puts.
func (c *cellChecker) checkAll() {
	for _, span := range c.spans {
		c.checkSpan(span)
	}
	for _, put := range c.puts {
		c.checkCondition(put)
	}
	for _, conflict := range c.conflicts {
		c.checkNamedRevision(conflict)
	}
}

// checkSpan checks that a watch has skipped no put.
func (c *cellChecker) checkSpan(span watchSpan) {
	for revision, put := range c.shown[span.group] {
		if span.after < revision && revision <= span.upTo && !span.events[revision] {
			c.fail("ORDER: a watch of %s after %d, up to %d, skips %q of revision %d", span.group, span.after, span.upTo, put.value, revision)
		}
	}
}

// checkCondition checks that a conditional put has replaced the revision that it asked for.
func (c *cellChecker) checkCondition(put *putRecord) {
	if !put.conditional || put.revision == 0 {
		return
	}
	for revision, other := range c.shown[coordination.GroupOf(put.cell)] {
		if other.cell == put.cell && put.ifRevision < revision && revision < put.revision {
			c.fail("ORDER: %q replaces revision %d of %s under %d, over %d", put.value, put.ifRevision, put.cell, put.revision, revision)
		}
	}
}

// checkNamedRevision checks that a revision that a conflict has named is that of a put to the cell.
func (c *cellChecker) checkNamedRevision(named conflict) {
	group := coordination.GroupOf(named.cell)
	put := c.shown[group][named.revision]
	switch {
	case named.revision == 0:
	case put != nil && put.cell != named.cell:
		c.fail("MIXED: a conflict on %s names revision %d, which is one of %s", named.cell, named.revision, put.cell)
	case put == nil && c.isCovered(group, named.revision):
		c.fail("MIXED: a conflict on %s names revision %d, which no put has", named.cell, named.revision)
	}
}

// isCovered reports whether some watch has shown all puts around a revision.
func (c *cellChecker) isCovered(group string, revision uint64) bool {
	for _, span := range c.spans {
		if span.group == group && span.after < revision && revision <= span.upTo {
			return true
		}
	}
	return false
}
