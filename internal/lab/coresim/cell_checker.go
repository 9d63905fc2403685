package coresim

import (
	"fmt"
	"time"

	"dykering/internal/coordination"
)

// cellChecker checks the guarantees ORDER, STALE, MIXED, REFUSED and LOST of cells and watches from the callers' observations.
// The revisions of a group define the order of its puts, so the checker does not search for an order: it compares each read
// with the revisions that had been shown when the read was sent.
type cellChecker struct {
	violation error
	// historyKept is the time after the delivery of a revision for which a watch can resume from it.
	historyKept time.Duration
	// puts contains all puts by their values, which are unique.
	puts map[string]*putRecord
	// shown contains the puts that some caller has seen, by group and revision.
	shown map[string]map[uint64]*putRecord
	// highestOfCell and highestOfGroup are the highest revisions that some caller has seen.
	highestOfCell, highestOfGroup map[string]uint64
	// conflicts are the revisions that were named in rejections of puts.
	conflicts []conflict
	// spans are the answers of watches.
	spans []watchSpan
	// acks, rejections, reads and watches count the answers of each kind.
	acks, rejections, reads, watches int
}

// putRecord is a put of a unique value.
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
	// revision is the revision of the put; 0 until a caller has seen it.
	revision uint64
}

// conflict is a rejection of a put that named the current revision of the cell.
type conflict struct {
	cell     string
	revision uint64
}

// watchSpan is an answer of a watch. It contains all puts of the group with revisions above after and up to upTo.
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

// show records and checks that a caller sees a value of a cell with a revision.
func (c *cellChecker) show(cell, value string, revision uint64) {
	group := coordination.GroupOf(cell)
	put := c.puts[value]
	if c.shown[group] == nil {
		c.shown[group] = map[uint64]*putRecord{}
	}
	other := c.shown[group][revision]
	switch {
	case put == nil || put.cell != cell:
		c.fail("MIXED: cell %s shows %q, which no caller has put there", cell, value)
		return
	case put.rejected:
		c.fail("REFUSED: cell %s shows %q with revision %d, but its put was rejected", cell, value, revision)
	case put.revision != 0 && put.revision != revision:
		c.fail("MIXED: %q is shown with the revisions %d and %d", value, put.revision, revision)
	case other != nil && other != put:
		c.fail("ORDER: revision %d of group %s has the values %q and %q", revision, group, other.value, value)
	case revision <= put.floor:
		c.fail("ORDER: %q has revision %d, but revision %d was shown before its put was sent", value, revision, put.floor)
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

// reject records that a put was certainly not executed and never will be.
func (c *cellChecker) reject(value string) {
	put := c.puts[value]
	c.rejections++
	put.rejected = true
	if put.revision != 0 {
		c.fail("REFUSED: the put of %q is rejected, but its value was shown with revision %d", value, put.revision)
	}
}

// checkConflict checks a rejection that names the current revision of the cell. Floor is the highest revision of the cell that
// had been shown when the call was sent.
func (c *cellChecker) checkConflict(value string, revision, floor uint64) {
	put := c.puts[value]
	c.conflicts = append(c.conflicts, conflict{cell: put.cell, revision: revision})
	switch {
	case revision < floor:
		c.fail("STALE: a conflict on cell %s names revision %d, but revision %d was shown before the call was sent", put.cell, revision,
			floor)
	case revision == put.ifRevision:
		c.fail("MIXED: a put to cell %s on the condition of revision %d is rejected because the cell has that revision", put.cell,
			revision)
	}
}

// checkRead checks the result of a read. Revision 0 means that the cell does not exist. Floor is the highest revision of the
// cell that had been shown when the call was sent.
func (c *cellChecker) checkRead(cell string, result coordination.Result, floor uint64) {
	c.reads++
	if result.Revision < floor {
		c.fail("STALE: a read of cell %s shows revision %d, but revision %d was shown before the read was sent", cell, result.Revision,
			floor)
	}
	if result.Found {
		c.show(cell, result.Value, result.Revision)
	}
}

// checkGroup checks the revision of a group that a call returned. Floor is the highest revision of the group that had been
// shown when the call was sent.
func (c *cellChecker) checkGroup(group string, revision, floor uint64) {
	if revision < floor {
		c.fail("STALE: group %s is at revision %d, but revision %d was shown before the call was sent", group, revision, floor)
	}
}

// checkWatch checks the answer of a watch: its events are in the order of their revisions and within the span of the answer.
func (c *cellChecker) checkWatch(group string, after, upTo uint64, events []coordination.Event) {
	c.watches++
	span := watchSpan{group: group, after: after, upTo: upTo, events: map[uint64]bool{}}
	previous := after
	for _, event := range events {
		if event.Revision <= previous || event.Revision > upTo || coordination.GroupOf(event.Name) != group {
			c.fail("ORDER: a watch of group %s after %d, up to %d, has cell %s with revision %d after revision %d", group, after, upTo,
				event.Name, event.Revision, previous)
		}
		previous = event.Revision
		span.events[event.Revision] = true
		c.show(event.Name, event.Value, event.Revision)
	}
	if upTo < after {
		c.fail("ORDER: a watch of group %s after revision %d is answered up to revision %d", group, after, upTo)
	}
	c.spans = append(c.spans, span)
}

// checkHistoryGone checks an answer by which the history no longer contains the revision of a watch. The watch received the
// revision at givenAt; the history must contain it for historyKept after that.
func (c *cellChecker) checkHistoryGone(now time.Duration, group string, after uint64, givenAt time.Duration) {
	if now-givenAt < c.historyKept {
		c.fail("LOST: the history of group %s after revision %d is gone only %v after a watch received that revision", group, after,
			now-givenAt)
	}
}

// checkAll makes the checks at the end of a run that need all puts.
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

// checkSpan checks that the answer of a watch contains every put within its span.
func (c *cellChecker) checkSpan(span watchSpan) {
	for revision, put := range c.shown[span.group] {
		if span.after < revision && revision <= span.upTo && !span.events[revision] {
			c.fail("ORDER: a watch of group %s after %d, up to %d, skips %q of revision %d", span.group, span.after, span.upTo, put.value,
				revision)
		}
	}
}

// checkCondition checks that no other put of the cell is between a conditional put and the revision on which it depends.
func (c *cellChecker) checkCondition(put *putRecord) {
	if !put.conditional || put.revision == 0 {
		return
	}
	for revision, other := range c.shown[coordination.GroupOf(put.cell)] {
		if other.cell == put.cell && put.ifRevision < revision && revision < put.revision {
			c.fail("ORDER: %q was put on the condition of revision %d of cell %s and has revision %d, but revision %d is between them",
				put.value, put.ifRevision, put.cell, put.revision, revision)
		}
	}
}

// checkNamedRevision checks that the revision in a conflict belongs to a put to the same cell.
func (c *cellChecker) checkNamedRevision(named conflict) {
	group := coordination.GroupOf(named.cell)
	put := c.shown[group][named.revision]
	switch {
	case named.revision == 0:
	case put != nil && put.cell != named.cell:
		c.fail("MIXED: a conflict on cell %s names revision %d, which is a revision of cell %s", named.cell, named.revision, put.cell)
	case put == nil && c.isCovered(group, named.revision):
		c.fail("MIXED: a conflict on cell %s names revision %d, which no put has", named.cell, named.revision)
	}
}

// isCovered reports whether a revision is within the span of some watch, so that a put with the revision would be known.
func (c *cellChecker) isCovered(group string, revision uint64) bool {
	for _, span := range c.spans {
		if span.group == group && span.after < revision && revision <= span.upTo {
			return true
		}
	}
	return false
}
