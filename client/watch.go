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
	client   *Client
	group    string
	position uint64 // every event up to it is delivered or pending; 0 before the first answer
	reached  uint64 // revision of the last delivered event
	pending  []Event
	missed   bool // events were lost, and ErrHistoryGone was not returned yet
	idle     int  // answers in a row that brought nothing and came early
}

// watchAnswer is the body of an answer.
type watchAnswer struct {
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
	return &Watch{client: c, group: group, position: after, reached: after}, nil
}

// Start asks for the present revision, if the watch has none yet. Next does so itself.
func (w *Watch) Start(ctx context.Context) error {
	if w.position > 0 {
		return nil
	}
	found, err := w.ask(ctx, 0)
	if err != nil {
		return err
	}
	if w.position = found.Revision; w.position == 0 {
		w.missed = true // of an empty group, as the first event cannot be asked for
	}
	w.reached = w.position
	return nil
}

// Revision is the one to resume from: the last event that Next returned, or a later one if there was none in between.
func (w *Watch) Revision() uint64 {
	if len(w.pending) > 0 {
		return w.reached
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
		if err := w.advance(ctx); err != nil {
			return Event{}, err
		}
	}
	event := w.pending[0]
	w.pending = w.pending[1:]
	w.reached = event.Revision
	return event, nil
}

// advance makes one step: it finds the present revision, or asks for events above the position.
func (w *Watch) advance(ctx context.Context) error {
	if err := sleep(ctx, backoff(w.idle, w.client.options.MaxPause)); err != nil {
		return err
	}
	if w.position == 0 {
		return w.begin(ctx)
	}
	asked := time.Now()
	found, err := w.ask(ctx, w.position)
	if errors.Is(err, ErrHistoryGone) {
		w.position, w.missed = 0, true
		return nil
	}
	if err != nil {
		return w.passing(ctx, err)
	}
	w.accept(found, time.Since(asked))
	return nil
}

// begin finds the revision to go on from. It returns ErrHistoryGone if events before it were missed.
func (w *Watch) begin(ctx context.Context) error {
	missedBefore := w.missed
	if err := w.Start(ctx); err != nil {
		return w.passing(ctx, err)
	}
	if w.position == 0 {
		w.idle++
		return nil
	}
	w.idle = 0
	w.missed = false
	if missedBefore {
		return errors.Wrap(ErrHistoryGone, w.group)
	}
	return nil
}

// passing returns an error unless the watch may go on in spite of it.
func (w *Watch) passing(ctx context.Context, err error) error {
	if ctx.Err() == nil && errors.Is(err, ErrUnavailable) {
		w.idle++
		return nil
	}
	return err
}

// accept takes the events above the position. An answer that is older than the position brings nothing.
func (w *Watch) accept(found watchAnswer, took time.Duration) {
	before := w.position
	for _, event := range found.Events {
		if event.Revision > w.position {
			w.pending = append(w.pending, event)
			w.position = event.Revision
		}
	}
	w.position = max(w.position, found.Revision)
	early := took < w.client.options.WatchWait/2
	if w.position == before && early {
		w.idle++
		return
	}
	w.idle = 0
}

// ask sends one watch call.
func (w *Watch) ask(ctx context.Context, after uint64) (found watchAnswer, err error) {
	path, err := pathOf("/watch/", w.group, "")
	if err != nil {
		return watchAnswer{}, err
	}
	wait := w.client.options.WatchWait
	call := w.client.newGet("watch "+w.group, path, watchQuery{After: after, WaitMs: wait.Milliseconds()})
	call.timeout += wait
	final, err := w.client.do(ctx, call)
	if err != nil {
		return watchAnswer{}, err
	}
	switch final.status {
	case http.StatusOK:
		return found, call.decode(final, &found)
	case http.StatusGone:
		return watchAnswer{}, errors.Wrap(ErrHistoryGone, w.group)
	}
	return watchAnswer{}, call.unexpected(final)
}
