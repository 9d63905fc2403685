package history

import (
	"fmt"
	"net/http"

	"github.com/samber/lo"
)

// checkWatches checks that the answers to watches are in order, skip no put, and can be resumed within the retention.
func (k *keyChecker) checkWatches() {
	for _, call := range k.calls {
		if call.Operation != Watch {
			continue
		}
		switch call.Status {
		case http.StatusOK:
			k.checkEvents(call)
			k.checkLag(call)
		case http.StatusGone:
			k.checkRetention(call)
		}
	}
}

// checkEvents checks that the events of an answer increase within the range (After, Revision] and include each put of that range. A
// watch with After 0 asks for the current revision only.
func (k *keyChecker) checkEvents(call *Call) {
	last := call.After
	for _, event := range call.Events {
		if event.Revision <= last || event.Revision > call.Revision {
			k.addViolation(Order, fmt.Sprintf("event %d of %s is outside of the range after %d up to %d", event.Revision, k.group, last, call.Revision), call)
		}
		last = event.Revision
	}
	if call.After == 0 {
		return
	}
	shown := lo.SliceToMap(call.Events, func(event Event) (uint64, bool) { return event.Revision, true })
	for revision, p := range k.byRevision {
		if call.After < revision && revision <= call.Revision && !shown[revision] {
			k.addViolation(Order, fmt.Sprintf("a watch of %s skips revision %d", k.group, revision), p.firstAttempt(), p.firstSeen, call)
		}
	}
}

// checkLag checks that the revision of an answer is not below the one that the watch resumes from. The revision of a final watch must
// also include all puts that were acknowledged before it.
func (k *keyChecker) checkLag(call *Call) {
	if call.Revision < call.After {
		k.addAnswerViolation(call, Order, fmt.Sprintf("a watch of %s after %d is answered at %d", k.group, call.After, call.Revision))
	}
	if !call.Final {
		return
	}
	for _, write := range k.calls {
		if write.Operation == Put && write.succeeded() && write.answeredBefore(call) && write.Revision > call.Revision {
			k.addViolation(Lost, fmt.Sprintf("a final watch of %s ends at revision %d although revision %d was acknowledged", k.group, call.Revision, write.Revision), write, call)
			return
		}
	}
}

// checkRetention checks that a 410 answer only concerns a revision that the watcher received longer ago than the retention.
func (k *keyChecker) checkRetention(gone *Call) {
	for _, call := range k.calls {
		received := call.Operation == Watch && call.succeeded() && call.Client == gone.Client && call.Revision == gone.After
		if received && call.answeredBefore(gone) && gone.Received-call.Received < k.retention {
			k.addViolation(Lost, fmt.Sprintf("a watch of %s after revision %d is answered with 410 only %v after the client received the revision", k.group, gone.After,
				gone.Received-call.Received), call, gone)
			return
		}
	}
}
