// Package discovery asks a service discovery, over HTTP, which endpoints there are, and follows what changes.
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

const (
	fetchTimeout = 3200 * time.Millisecond
	// What discovery has to tell counts as told 6 s after it could be reached, whatever became of the calls before:
	// docs/review-of-parts.md adds up the ways to another watch.
	//
	// watchSilence ends a watch that says nothing: an empty line is due every 2 s.
	watchSilence = 3200 * time.Millisecond
	// answerSilence ends a watch that is not even answered.
	answerSilence = 2 * time.Second
	// Where lists are pushed, what the agent has counts as told at once: half as much again as backoffMost, the longest
	// pause, and an answer come before a drain's grace of a second is over.
	backoffLeast = 50 * time.Millisecond
	backoffMost  = 400 * time.Millisecond
)

// Options are how a discovery is asked.
type Options struct {
	ConnectTimeout time.Duration
	// Dial makes a connection within a time; nil is the kernel's.
	Dial    func(ctx context.Context, address string, within time.Duration) (net.Conn, error)
	MustAsk bool // a watch costs: it is not taken up again but when the sink says so
	Log     *zap.Logger
}

// watcher talks to the discovery at one address. It belongs to the loop that it serves; what its goroutines bring is
// heard only while they are wanted.
type watcher struct {
	url      string
	sink     core.Sink
	log      *zap.Logger
	client   *http.Client
	again    bool // reconnect by itself: where lists are pushed, asking costs nothing
	cancel   context.CancelFunc
	watching bool // until a watch has ended by itself
	fetching bool
}

// New makes the discovery at an address.
func New(address string, to core.Sink, o Options) core.Discovery {
	dial := (&net.Dialer{Timeout: o.ConnectTimeout}).DialContext
	if o.Dial != nil {
		dial = func(ctx context.Context, _, address string) (net.Conn, error) {
			return o.Dial(ctx, address, o.ConnectTimeout)
		}
	}
	return &watcher{url: "http://" + address + "/v1/endpoints", sink: to, log: o.Log, again: !o.MustAsk,
		client: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true},
			// One call is one request: where it points elsewhere it has failed.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// Watch begins to watch for what changes after a version; nil asks for the whole list first. Like Stop it
// never waits.
func (w *watcher) Watch(since *uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel, w.watching = cancel, true
	go w.run(ctx, since)
}

// Stop ends the watch: nothing that it brought and that the loop has not yet taken counts.
func (w *watcher) Stop() {
	if w.cancel != nil {
		w.cancel()
	}
	w.watching = false
}

// post hands what the watch brought to the loop, unless it has been stopped by then.
func (w *watcher) post(ctx context.Context, event func()) {
	w.sink.Post(func() {
		if ctx.Err() == nil {
			event()
		}
	})
}

// run watches until it is stopped, or, where discovery must be asked, until the watch ends.
func (w *watcher) run(ctx context.Context, since *uint64) {
	failures, told := 0, ""
	for {
		reached, got, err := w.watch(ctx, since)
		if ctx.Err() != nil {
			return
		}
		since = reached
		if !w.again {
			w.post(ctx, func() {
				w.watching = false
				w.sink.ListFailed(w, err)
			})
			return
		}
		if got {
			failures, told = 0, ""
		}
		if text := err.Error(); text != told {
			w.log.Warn("discovery.watch_failed", zap.String("error", text))
			told = text
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff(failures, rand.Float64())):
		}
		failures++
	}
}

// backoff is the pause after so many failed watches in a row; spread, from 0 to 1, is where it lies between half of the
// usual pause and half as much again.
func backoff(failures int, spread float64) time.Duration {
	usual := backoffMost
	if doublings := failures; doublings < 16 {
		usual = min(backoffLeast<<doublings, backoffMost)
	}
	return usual/2 + time.Duration(spread*float64(usual))
}

// errSilent is a watch that stands and brings nothing, not even an empty line.
var errSilent = errors.New("watch: silent")

// watch follows the list until the connection ends, and tells whether it brought anything and what version
// it reached, so that the next watch misses nothing.
func (w *watcher) watch(ctx context.Context, since *uint64) (reached *uint64, got bool, err error) {
	ctx2, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(answerSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	defer func() {
		if errors.Is(context.Cause(ctx2), errSilent) {
			err = errSilent
		}
	}()
	url := w.url + "?follow=1"
	if since != nil {
		url += "&since=" + strconv.FormatUint(*since, 10)
	}
	body, err := w.get(ctx2, url)
	if err != nil {
		return since, false, err
	}
	defer body.Close()
	alive := func() { silence.Reset(watchSilence) }
	alive()
	lists := newLists(body, alive)
	for {
		l, err := lists.next()
		switch {
		case errors.Is(err, io.EOF):
			return since, got, errors.New("watch ended")
		case errors.Is(err, errMalformed):
			// What it held is missing: begin again with the whole list.
			return nil, got, fmt.Errorf("watch: %w", err)
		case err != nil:
			return since, got, fmt.Errorf("watch: %w", err)
		}
		alive()
		got, since = true, &l.Rev
		w.post(ctx, func() { w.sink.ListReceived(w, l, core.FromWatch) })
	}
}

// Fetch gets the whole list once, unless that is under way. It is heard only while its discovery is the one
// that is followed.
func (w *watcher) Fetch() {
	if w.fetching {
		return
	}
	w.fetching = true
	go func() {
		got, err := w.whole()
		w.sink.Post(func() {
			w.fetching = false
			switch {
			case err != nil && w.watching:
				w.log.Warn("discovery.fetch_failed", zap.Error(err)) // the watch stands, and brings what changes
			case err != nil:
				w.sink.ListFailed(w, err)
			default:
				w.sink.ListReceived(w, got, core.FromFetch)
			}
		})
	}()
}

// whole asks for the whole list.
func (w *watcher) whole() (l core.List, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	body, err := w.get(ctx, w.url)
	if err != nil {
		return l, err
	}
	defer body.Close()
	if l, err = newLists(body, func() {}).next(); err != nil {
		return l, fmt.Errorf("fetch: %w", noEOF(err))
	}
	if !l.Full {
		return l, errors.New("fetch: not the whole list")
	}
	return l, nil
}

func (w *watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := w.client.Do(r)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("answered %s", res.Status)
	}
	return res.Body, nil
}
