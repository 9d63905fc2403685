package history

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/samber/lo"
)

// rejectionStatuses are the statuses that end an operator's change. All others, 503 too, leave open whether it is in force.
var rejectionStatuses = []int{
	http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
	http.StatusUnprocessableEntity,
}

// checkConfigurations checks the changes of operators: one on top of each version, and read as it was acknowledged.
func (c *checker) checkConfigurations() {
	tries := lo.Filter(c.calls, func(call *Call, _ int) bool { return call.Operation == Configure })
	acknowledged := lo.Filter(tries, func(call *Call, _ int) bool { return call.succeeded() })
	byContent := lo.GroupBy(tries, func(call *Call) string { return call.Content })
	for i, call := range acknowledged {
		for _, other := range acknowledged[:i] {
			if other.Base == call.Base && other.Content != call.Content {
				c.addViolation(Config, fmt.Sprintf("two changes of version %d are acknowledged", call.Base), other, call)
			}
		}
	}
	for _, read := range c.calls {
		if read.Operation == ReadConfiguration && read.succeeded() {
			c.checkConfigurationRead(read, acknowledged, byContent[read.Content])
		}
	}
}

// checkConfigurationRead checks what a read shows; tries are those of the change that it shows.
func (c *checker) checkConfigurationRead(read *Call, acknowledged, tries []*Call) {
	for _, change := range acknowledged {
		older := change.Version > read.Version || change.Version == read.Version && change.Content != read.Content
		if change.answeredBefore(read) && older {
			c.addAnswerViolation(read, Config, fmt.Sprintf("version %d is read after %d was acknowledged", read.Version, change.Version), change)
			return
		}
	}
	if read.Version == 0 {
		return
	}
	if !lo.SomeBy(tries, func(try *Call) bool { return try.Version == read.Version && try.Sent < read.Received }) {
		c.addViolation(Config, fmt.Sprintf("version %d was not sent as it is read", read.Version), read)
		return
	}
	if lo.EveryBy(tries, func(try *Call) bool { return slices.Contains(rejectionStatuses, try.Status) }) {
		c.addViolation(Config, fmt.Sprintf("version %d is in force, and was rejected", read.Version), append(tries, read)...)
	}
}
