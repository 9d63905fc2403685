package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
)

// A change counts as known 6 s after discovery could be reached, whatever became of the calls before; with the time-outs
// below another watch has brought it by then (docs/review-of-parts.md adds up the cases).
const (
	// fetchTimeout bounds a fetch of the full list.
	fetchTimeout = 3200 * time.Millisecond
	// keepAliveTimeout ends a watch that sends nothing: an empty line is due every 2 s.
	keepAliveTimeout = 3200 * time.Millisecond
	// answerTimeout ends a watch that is not answered.
	answerTimeout = 2 * time.Second
)

// The pause before a watch is begun again where lists are pushed. There a change counts as known at once: one and a half
// times maxBackoff, the longest pause, and an answer fit in a drain's grace of a second.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Options are how a discovery is called.
type Options struct {
	ConnectTimeout time.Duration
	// Dial makes a connection within a time; nil uses net.Dialer.
	Dial func(ctx context.Context, address string, within time.Duration) (net.Conn, error)
	// Pull says that lists must be asked for: a watch costs, and is begun again only by the sink.
	Pull bool
	Log  *zap.Logger
}

// watcher follows the discovery at one address. Its fields belong to the sink's goroutine.
type watcher struct {
	url        string
	sink       core.Sink
	log        *zap.Logger
	client     *http.Client
	reconnects bool // begins a watch again by itself: where lists are pushed, that costs nothing
	cancel     context.CancelFunc
	watching   bool // until a watch is stopped or has ended by itself
	fetching   bool
}

var _ core.Discovery = (*watcher)(nil)

// New makes the discovery at an address; it does nothing before Watch or Fetch.
func New(address string, to core.Sink, o Options) core.Discovery {
	dial := (&net.Dialer{Timeout: o.ConnectTimeout}).DialContext
	if o.Dial != nil {
		dial = func(ctx context.Context, _, address string) (net.Conn, error) {
			return o.Dial(ctx, address, o.ConnectTimeout)
		}
	}
	return &watcher{
		url:        "http://" + address + "/v1/endpoints",
		sink:       to,
		log:        o.Log,
		reconnects: !o.Pull,
		client: &http.Client{
			Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true},
			// One call is one request, so a redirection is a failure.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Watch begins to watch for changes after a version; nil asks for the full list first.
func (w *watcher) Watch(since *uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel, w.watching = cancel, true
	go w.run(ctx, since)
}

// Stop ends the watch. What it has received and the sink has not yet taken is dropped.
func (w *watcher) Stop() {
	if w.cancel != nil {
		w.cancel()
	}
	w.watching = false
}

// post runs an event of a watch in the sink's goroutine, unless the watch was stopped by then.
func (w *watcher) post(ctx context.Context, event func()) {
	w.sink.Post(func() {
		if ctx.Err() == nil {
			event()
		}
	})
}

// run watches until it is stopped or, where lists must be asked for, until the watch ends. It logs a failure once, until
// a watch has received something.
func (w *watcher) run(ctx context.Context, since *uint64) {
	failures, lastLogged := 0, ""
	for {
		reached, received, err := w.watch(ctx, since)
		if ctx.Err() != nil {
			return
		}
		since = reached
		if !w.reconnects {
			w.post(ctx, func() {
				w.watching = false
				w.sink.ListFailed(w, err)
			})
			return
		}
		if received {
			failures, lastLogged = 0, ""
		}
		if text := err.Error(); text != lastLogged {
			w.log.Warn("discovery.watch_failed", zap.String("error", text))
			lastLogged = text
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff(failures, rand.Float64())):
		}
		failures++
	}
}

// backoff is the pause after so many failed watches in a row. It doubles from minBackoff to maxBackoff; jitter, from 0 to
// 1, places it between half and one and a half times that.
func backoff(failures int, jitter float64) time.Duration {
	usual := maxBackoff
	if failures < 16 { // more doublings could overflow
		usual = min(minBackoff<<failures, maxBackoff)
	}
	return usual/2 + time.Duration(jitter*float64(usual))
}

var (
	// errWatchTimeout is the end of a watch that sends nothing, not even an empty line.
	errWatchTimeout = errors.New("watch: silent")
	// errWatchClosed is the end of a watch by the discovery.
	errWatchClosed = errors.New("watch ended")
	// errPartialList is a fetched list that has not all endpoints.
	errPartialList = errors.New("fetch: not the whole list")
)

// watch follows the list until the connection ends. It returns the version that it has reached, so that the next watch
// misses nothing, and whether it has received any list.
func (w *watcher) watch(ctx context.Context, since *uint64) (reached *uint64, received bool, err error) {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(answerTimeout, func() { cancel(errWatchTimeout) })
	defer silence.Stop()
	defer func() {
		if errors.Is(context.Cause(watchCtx), errWatchTimeout) {
			err = errWatchTimeout
		}
	}()
	url := w.url + "?follow=1"
	if since != nil {
		url += "&since=" + strconv.FormatUint(*since, 10)
	}
	body, err := w.get(watchCtx, url)
	if err != nil {
		return since, false, err
	}
	defer body.Close()
	keepAlive := func() { silence.Reset(keepAliveTimeout) }
	keepAlive()
	lists := newListReader(body, keepAlive)
	for {
		l, err := lists.next()
		switch {
		case errors.Is(err, io.EOF):
			return since, received, errWatchClosed
		case errors.Is(err, errMalformedList):
			// The changes of that list are missing: begin again with the full list.
			return nil, received, fmt.Errorf("watch: %w", err)
		case err != nil:
			return since, received, fmt.Errorf("watch: %w", err)
		}
		keepAlive()
		received, since = true, &l.Rev
		w.post(ctx, func() { w.sink.ListReceived(w, l, core.FromWatch) })
	}
}

// Fetch gets the full list once, unless a fetch is under way. It is reported to the sink even after Stop.
func (w *watcher) Fetch() {
	if w.fetching {
		return
	}
	w.fetching = true
	go func() {
		l, err := w.fetchFullList()
		w.sink.Post(func() {
			w.fetching = false
			switch {
			case err != nil && w.watching:
				// The watch brings changes all the same, so this is no failure to the sink.
				w.log.Warn("discovery.fetch_failed", zap.Error(err))
			case err != nil:
				w.sink.ListFailed(w, err)
			default:
				w.sink.ListReceived(w, l, core.FromFetch)
			}
		})
	}()
}

// fetchFullList asks for the full list.
func (w *watcher) fetchFullList() (l core.List, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	body, err := w.get(ctx, w.url)
	if err != nil {
		return l, err
	}
	defer body.Close()
	if l, err = newListReader(body, func() {}).next(); err != nil {
		return l, fmt.Errorf("fetch: %w", unexpectedEOF(err))
	}
	if !l.Full {
		return l, errPartialList
	}
	return l, nil
}

// get sends a request and returns the body of its response, which the caller closes; a status other than 200 is an error.
func (w *watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("answered %s", response.Status)
	}
	return response.Body, nil
}
