package history

import (
	"fmt"
	"net/http"

	"github.com/samber/lo"
)

// checkWatches checks the answers to watches: they rise, skip no put, and can be resumed.
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

// checkEvents checks that the events of an answer rise within its span and are all puts of the span. With after at 0 a watch
// asks for the revision only.
func (k *keyChecker) checkEvents(call *Call) {
	last := call.After
	for _, event := range call.Events {
		if event.Revision <= last || event.Revision > call.Revision {
			k.addViolation(Order, fmt.Sprintf("event %d of %s comes after %d, up to %d", event.Revision, k.group, last, call.Revision), call)
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

// checkLag checks that a revision doesn't fall behind the one that the watch resumes from and, at the end of the history, not
// behind what was acknowledged.
func (k *keyChecker) checkLag(call *Call) {
	if call.Revision < call.After {
		k.addAnswerViolation(call, Order, fmt.Sprintf("a watch of %s after %d is answered at %d", k.group, call.After, call.Revision))
	}
	if !call.Final {
		return
	}
	for _, write := range k.calls {
		if write.Operation == Put && write.succeeded() && write.answeredBefore(call) && write.Revision > call.Revision {
			k.addViolation(Lost, fmt.Sprintf("a watch of %s ends at %d, and %d was acknowledged", k.group, call.Revision, write.Revision), write, call)
			return
		}
	}
}

// checkRetention checks that a 410 is for a revision that was given to the watcher long enough ago.
func (k *keyChecker) checkRetention(gone *Call) {
	for _, call := range k.calls {
		given := call.Operation == Watch && call.succeeded() && call.Client == gone.Client && call.Revision == gone.After
		if given && call.answeredBefore(gone) && gone.Received-call.Received < k.retention {
			k.addViolation(Lost, fmt.Sprintf("a watch of %s after %d is gone %v after it was given", k.group, gone.After,
				gone.Received-call.Received), call, gone)
			return
		}
	}
}
