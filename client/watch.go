package client

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Event is a put that a watch saw.
type Event struct {
	Key      string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Watch follows the puts of a group of keys: those that begin alike up to the first dot. It is used by one goroutine.
type Watch struct {
	client       *Client
	group        string
	position     uint64 // every event up to it is delivered or pending; 0 before the first answer
	delivered    uint64 // revision of the last delivered event
	pending      []Event
	missed       bool // events were lost, and ErrHistoryGone was not returned yet
	emptyAnswers int  // answers in a row that brought nothing and came early
}

// watchAnswer is the body of an answer.
type watchResponse struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
}

// watchQuery is the query of a watch.
type watchQuery struct {
	After  uint64 `url:"after"`
	WaitMs int64  `url:"wait_ms"`
}

// Watch returns a watch of a group, whose name ends with the dot. It delivers the events above the revision after. If that
// is 0 it begins with the present: call Start, read the keys that matter, and then Next, so that no put is missed.
func (c *Client) Watch(group string, after uint64) (*Watch, error) {
	if dot := strings.Index(group, "."); dot < 1 || dot != len(group)-1 {
		return nil, errors.Errorf("%q is not a group: it must end with its only dot", group)
	}
	return &Watch{client: c, group: group, position: after, delivered: after}, nil
}

// Start asks for the present revision, if the watch has none yet. Next does so itself.
func (w *Watch) Start(ctx context.Context) error {
	if w.position > 0 {
		return nil
	}
	response, err := w.request(ctx, 0)
	if err != nil {
		return err
	}
	if w.position = response.Revision; w.position == 0 {
		w.missed = true // of an empty group, as the first event cannot be asked for
	}
	w.delivered = w.position
	return nil
}

// Revision is the one to resume from: the last event that Next returned, or a later one if there was none in between.
func (w *Watch) Revision() uint64 {
	if len(w.pending) > 0 {
		return w.delivered
	}
	return w.position
}

// Next waits for the next event. Events come in the order of their revisions, each once. After a failure of an address
// the watch resumes at another one.
//
// With ErrHistoryGone, events were missed, and the watch goes on from the present: read the keys, then call Next again.
// Other errors do not change the watch.
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

// advance makes one step: it finds the present revision, or asks for events above the position.
func (w *Watch) poll(ctx context.Context) error {
	if err := sleep(ctx, backoff(w.emptyAnswers, w.client.options.MaxPause)); err != nil {
		return err
	}
	if w.position == 0 {
		return w.findPosition(ctx)
	}
	asked := time.Now()
	response, err := w.request(ctx, w.position)
	if errors.Is(err, ErrHistoryGone) {
		w.position, w.missed = 0, true
		return nil
	}
	if err != nil {
		return w.ignoreUnavailable(ctx, err)
	}
	w.accept(response, time.Since(asked))
	return nil
}

// begin finds the revision to go on from. It returns ErrHistoryGone if events before it were missed.
func (w *Watch) findPosition(ctx context.Context) error {
	missedBefore := w.missed
	if err := w.Start(ctx); err != nil {
		return w.ignoreUnavailable(ctx, err)
	}
	if w.position == 0 {
		w.emptyAnswers++
		return nil
	}
	w.emptyAnswers = 0
	w.missed = false
	if missedBefore {
		return errors.Wrap(ErrHistoryGone, w.group)
	}
	return nil
}

// passing returns an error unless the watch may go on in spite of it.
func (w *Watch) ignoreUnavailable(ctx context.Context, err error) error {
	if ctx.Err() == nil && errors.Is(err, ErrUnavailable) {
		w.emptyAnswers++
		return nil
	}
	return err
}

// accept takes the events above the position. An answer that is older than the position brings nothing.
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
		w.emptyAnswers++
		return
	}
	w.emptyAnswers = 0
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
