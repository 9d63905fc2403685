package history

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/samber/lo"
)

// rejectionStatuses are the statuses after which a configuration change is certainly not in force. All other failures, including
// 503, leave open whether the change took effect.
var rejectionStatuses = []int{
	http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
	http.StatusUnprocessableEntity,
}

// checkConfigurations checks that at most one change of each version is acknowledged, and that reads return acknowledged changes.
func (c *checker) checkConfigurations() {
	attempts := lo.Filter(c.calls, func(call *Call, _ int) bool { return call.Operation == Configure })
	acknowledged := lo.Filter(attempts, func(call *Call, _ int) bool { return call.succeeded() })
	byContent := lo.GroupBy(attempts, func(call *Call) string { return call.Content })
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

// checkConfigurationRead checks the configuration that a read returned. attempts are the calls that sent its content.
func (c *checker) checkConfigurationRead(read *Call, acknowledged, attempts []*Call) {
	for _, change := range acknowledged {
		older := change.Version > read.Version || change.Version == read.Version && change.Content != read.Content
		if change.answeredBefore(read) && older {
			c.addAnswerViolation(read, Config, fmt.Sprintf("version %d is read after version %d was acknowledged", read.Version, change.Version), change)
			return
		}
	}
	if read.Version == 0 {
		return
	}
	if !lo.SomeBy(attempts, func(attempt *Call) bool { return attempt.Version == read.Version && attempt.Sent < read.Received }) {
		c.addViolation(Config, fmt.Sprintf("version %d is read with content that no operator sent", read.Version), read)
		return
	}
	if lo.EveryBy(attempts, func(attempt *Call) bool { return slices.Contains(rejectionStatuses, attempt.Status) }) {
		c.addViolation(Config, fmt.Sprintf("version %d is in force although it was rejected", read.Version), append(attempts, read)...)
	}
}
