package client

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Event is a put that a watch delivers.
type Event struct {
	Key      string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Watch delivers the puts to a group of keys. A group consists of the keys with the same prefix up to the first dot. A Watch
// is not safe for concurrent use.
type Watch struct {
	client               *Client
	group                string
	position             uint64 // every event up to this revision is delivered or pending; 0 before the first response
	delivered            uint64 // revision of the last delivered event
	pending              []Event
	missed               bool // events were missed, and ErrHistoryGone was not returned yet
	pollsWithoutProgress int  // consecutive failures, and early responses without progress; determines the pause before the next call
}

// watchResponse is the response body of a watch call.
type watchResponse struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
}

// watchQuery has the query parameters of a watch call.
type watchQuery struct {
	After  uint64 `url:"after"`
	WaitMs int64  `url:"wait_ms"`
}

// Watch returns a watch of a group, whose name ends with the dot. It delivers the events with a revision above after. With 0
// it starts at the current revision: call Start, then read the keys, and then call Next, so that no put is missed.
func (c *Client) Watch(group string, after uint64) (*Watch, error) {
	if dot := strings.Index(group, "."); dot < 1 || dot != len(group)-1 {
		return nil, errors.Errorf("%q is not a group: it must end with a dot and have no other", group)
	}
	return &Watch{client: c, group: group, position: after, delivered: after}, nil
}

// Start requests the current revision if the watch has none yet. Next calls it if necessary.
func (w *Watch) Start(ctx context.Context) error {
	if w.position > 0 {
		return nil
	}
	response, err := w.request(ctx, 0)
	if err != nil {
		return err
	}
	if w.position = response.Revision; w.position == 0 {
		w.missed = true // the group is empty, and its first event cannot be requested
	}
	w.delivered = w.position
	return nil
}

// Revision returns the revision to resume from. It is that of the last event that Next returned, or a later one if no event
// lies in between.
func (w *Watch) Revision() uint64 {
	if len(w.pending) > 0 {
		return w.delivered
	}
	return w.position
}

// Next waits for the next event. It returns the events in the order of their revisions, each once. If an address fails, the
// watch continues at another one.
//
// ErrHistoryGone means that events were missed. The watch then continues from the current revision: read the keys, then call
// Next again. Other errors do not change the state of the watch.
func (w *Watch) Next(ctx context.Context) (Event, error) {
	for len(w.pending) == 0 {
		if err := w.poll(ctx); err != nil {
			return Event{}, err
		}
	}
	event := w.pending[0]
	w.pending = w.pending[1:]
	w.delivered = event.Revision
	return event, nil
}

// poll makes one call: it requests the current revision if the position is unknown, or else the events above the position.
func (w *Watch) poll(ctx context.Context) error {
	if err := sleep(ctx, backoff(w.pollsWithoutProgress, w.client.options.MaxPause)); err != nil {
		return err
	}
	if w.position == 0 {
		return w.findPosition(ctx)
	}
	sent := time.Now()
	response, err := w.request(ctx, w.position)
	if errors.Is(err, ErrHistoryGone) {
		w.position, w.missed = 0, true
		return nil
	}
	if err != nil {
		return w.ignoreUnavailable(ctx, err)
	}
	w.accept(response, time.Since(sent))
	return nil
}

// findPosition sets the position to the current revision. It returns ErrHistoryGone if earlier events were missed.
func (w *Watch) findPosition(ctx context.Context) error {
	missedBefore := w.missed
	if err := w.Start(ctx); err != nil {
		return w.ignoreUnavailable(ctx, err)
	}
	if w.position == 0 {
		w.pollsWithoutProgress++
		return nil
	}
	w.pollsWithoutProgress = 0
	w.missed = false
	if missedBefore {
		return errors.Wrap(ErrHistoryGone, w.group)
	}
	return nil
}

// ignoreUnavailable returns nil for ErrUnavailable while the context is valid, so that the watch retries. It returns other
// errors unchanged.
func (w *Watch) ignoreUnavailable(ctx context.Context, err error) error {
	if ctx.Err() == nil && errors.Is(err, ErrUnavailable) {
		w.pollsWithoutProgress++
		return nil
	}
	return err
}

// accept adds the events above the position to the pending events. A response that is older than the position has no effect
// on it.
func (w *Watch) accept(response watchResponse, took time.Duration) {
	before := w.position
	for _, event := range response.Events {
		if event.Revision > w.position {
			w.pending = append(w.pending, event)
			w.position = event.Revision
		}
	}
	w.position = max(w.position, response.Revision)
	early := took < w.client.options.WatchWait/2
	if w.position == before && early {
		w.pollsWithoutProgress++
		return
	}
	w.pollsWithoutProgress = 0
}

// request sends one watch call.
func (w *Watch) request(ctx context.Context, after uint64) (events watchResponse, err error) {
	path, err := pathOf("/watch/", w.group, "")
	if err != nil {
		return watchResponse{}, err
	}
	wait := w.client.options.WatchWait
	call := w.client.newGet("watch "+w.group, path, watchQuery{After: after, WaitMs: wait.Milliseconds()})
	call.timeout += wait
	response, err := w.client.do(ctx, call)
	if err != nil {
		return watchResponse{}, err
	}
	switch response.status {
	case http.StatusOK:
		return events, call.decode(response, &events)
	case http.StatusGone:
		return watchResponse{}, errors.Wrap(ErrHistoryGone, w.group)
	}
	return watchResponse{}, call.statusError(response)
}
