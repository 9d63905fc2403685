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

// The platform expects a sidecar to know each change 6 s after the discovery service is reachable, whatever happened to
// earlier requests. The timeouts are short enough that a silent or unanswered watch is replaced, and the new watch has
// delivered the change, within that time.
const (
	// fetchTimeout bounds a fetch of the full list.
	fetchTimeout = 3200 * time.Millisecond
	// keepAliveTimeout ends a watch that is silent. The service sends an empty line every 2 s.
	keepAliveTimeout = 3200 * time.Millisecond
	// answerTimeout ends a watch that receives no response headers.
	answerTimeout = 2 * time.Second
)

// Bounds of the pause before a watch is restarted in push mode. In that mode, the platform expects a sidecar to know a
// change at once. The longest pause is one and a half times maxBackoff. Together with the response to the next watch it
// has to fit into a drain's grace period of one second.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Options configure a discovery client.
type Options struct {
	ConnectTimeout time.Duration // bounds the establishment of a connection
	// Dial connects to a TCP address. It fails after the timeout. Nil means net.Dialer.
	Dial func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	// Pull selects pull mode, in which each watch has a cost. The client then does not reconnect by itself: the sink
	// decides when to start the next watch.
	Pull bool
	Log  *zap.Logger
}

// watcher is the client of the discovery service at one address. Only the sink's goroutine uses the fields from cancel on.
// The others do not change.
type watcher struct {
	url        string
	sink       core.Sink
	log        *zap.Logger
	client     *http.Client
	reconnects bool // restarts a broken watch by itself; true in push mode, where a watch has no cost
	cancel     context.CancelFunc
	watching   bool // a watch is running: neither stopped nor ended by itself
	fetching   bool // a fetch is in progress
}

var _ core.Discovery = (*watcher)(nil)

// New creates a client of the discovery service at an address. It sends no request before Watch or Fetch is called.
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
			// Each call sends exactly one request, so a redirect is an error.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Watch starts a watch for the changes after a version. With nil, the watch starts with the full list.
func (w *watcher) Watch(since *uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel, w.watching = cancel, true
	go w.run(ctx, since)
}

// Stop ends the watch. Lists that it has received but not yet reported are dropped.
func (w *watcher) Stop() {
	if w.cancel != nil {
		w.cancel()
	}
	w.watching = false
}

// post runs an event of a watch in the sink's goroutine, unless the watch has been stopped by then.
func (w *watcher) post(ctx context.Context, event func()) {
	w.sink.Post(func() {
		if ctx.Err() == nil {
			event()
		}
	})
}

// run watches the list until the context is done. In pull mode, it returns after one watch and reports its end to the sink.
// In push mode, it restarts the watch after a backoff. It logs consecutive failures with the same text only once, until a
// watch receives a list.
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

// backoff returns the pause after a number of consecutive failures. The base pause doubles from minBackoff to maxBackoff.
// Jitter, between 0 and 1, scales it to between half and one and a half times the base.
func backoff(failures int, jitter float64) time.Duration {
	base := maxBackoff
	if failures < 16 { // a larger shift could overflow
		base = min(minBackoff<<failures, maxBackoff)
	}
	return base/2 + time.Duration(jitter*float64(base))
}

var (
	// errWatchTimeout ends a watch that receives no response in time, or neither a list nor an empty line.
	errWatchTimeout = errors.New("watch: neither a response nor a keep-alive line within the timeout")
	// errWatchClosed means that the discovery service has ended the response to a watch.
	errWatchClosed = errors.New("watch: the discovery service ended the response")
	// errPartialList means that a fetch returned a list without all endpoints.
	errPartialList = errors.New("fetch: received a partial list, want the full list")
)

// watch runs one watch until its connection ends. It returns the version after which the next watch should start, or nil if
// that one has to start with the full list, and whether it has received any list.
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
			// The changes in that list are lost, so the next watch has to start with the full list.
			return nil, received, fmt.Errorf("watch: %w", err)
		case err != nil:
			return since, received, fmt.Errorf("watch: %w", err)
		}
		keepAlive()
		received, since = true, &l.Rev
		w.post(ctx, func() { w.sink.ListReceived(w, l, core.FromWatch) })
	}
}

// Fetch requests the full list once, unless a fetch is in progress. The result is reported to the sink even after Stop.
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
				// The running watch still delivers changes, so the sink need not know of this failure.
				w.log.Warn("discovery.fetch_failed", zap.Error(err))
			case err != nil:
				w.sink.ListFailed(w, err)
			default:
				w.sink.ListReceived(w, l, core.FromFetch)
			}
		})
	}()
}

// fetchFullList requests the full list and returns it. A partial list is an error.
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

// get sends a GET request and returns the response body, which the caller has to close. A status other than 200 is an error.
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
		return nil, fmt.Errorf("the discovery service responded with status %s", response.Status)
	}
	return response.Body, nil
}
