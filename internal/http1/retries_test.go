package http1

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A request of a class that is not idempotent is not retried after a reset, not even with an
// Idempotency-Key, and is not answered as rejected: it may have been executed.
func TestResetRequestIsNotRetried(t *testing.T) {
	var arrived atomic.Int64
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == 1 {
			fmt.Fprint(w, "warm") // the next request then uses an idle connection
			return
		}
		io.Copy(io.Discard, r.Body)
		closeWithoutAnswer(w)
	}))
	if status, _ := rg.roundTrip(rg.request("once", 5*time.Second)); status != 200 {
		t.Fatal(status)
	}
	r := rg.request("once", 5*time.Second)
	r.Header.Set("Idempotency-Key", "k")
	if status, body := rg.roundTrip(r); status != 502 || arrived.Load() != 2 {
		t.Errorf("got %d %q after %d requests", status, body, arrived.Load())
	}
}

// A keyed request that may have been executed is retried only in its cell, which recognizes the retry.
func TestKeyedRetryStaysInItsCell(t *testing.T) {
	var tries, otherCell atomic.Int64
	closeFirst := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if tries.Add(1) == 1 {
			closeWithoutAnswer(w)
			return
		}
		fmt.Fprint(w, "ok")
	}
	a, b := endpointServing(t, "s-1", closeFirst), endpointServing(t, "s-2", closeFirst)
	other := endpointServing(t, "s-3", func(w http.ResponseWriter, _ *http.Request) {
		otherCell.Add(1)
		fmt.Fprint(w, "ok")
	})
	other.Cell = 2
	rg := start(t, 1024, a, b, other)
	for i := 0; tries.Load() == 0 && i < 100; i++ {
		otherCell.Store(0)
		if status, body := rg.roundTrip(rg.request("book", 9*time.Second)); status != 200 {
			t.Fatalf("got %d %q", status, body)
		}
	}
	if tries.Load() != 2 || otherCell.Load() != 0 {
		t.Errorf("%d attempts in the cell and %d outside of it, want 2 and 0", tries.Load(), otherCell.Load())
	}
}

func TestRejectedRequestIsRetriedAndPlain503IsNot(t *testing.T) {
	var plain atomic.Bool
	reject := func(w http.ResponseWriter, _ *http.Request) {
		if !plain.Load() {
			w.Header().Set("X-Turned-Away", "1")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	rg := start(t, 1024, endpointServing(t, "s-1", reject), endpointServing(t, "s-2", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "ok")
	}))
	for range 10 {
		if status, body := rg.roundTrip(rg.request("once", 5*time.Second)); status != 200 {
			t.Fatalf("got %d %q", status, body)
		}
	}
	rg = start(t, 1024, endpointServing(t, "s-1", reject))
	plain.Store(true)
	if status, body := rg.roundTrip(rg.request("once", 5*time.Second)); status != 502 {
		t.Errorf("got %d %q for a 503 that does not state that the request was not executed, want 502", status, body)
	}
}

// A call that its endpoint does not answer, while it answers others, is retried at another endpoint
// before the deadline.
func TestUnansweredCallIsRetriedAtAnotherEndpoint(t *testing.T) {
	const deadline = 9 * time.Second
	var unanswered atomic.Int32 // the number of calls that still get no answer
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Lane") == "book" && unanswered.Add(-1) >= 0 {
			awaitCancel(r)
			return
		}
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(w, "ok")
	}
	rg := start(t, 1024, endpointServing(t, "s-1", serve), endpointServing(t, "s-2", serve))
	for range 20 { // the server needs statistics of the latency
		rg.roundTrip(rg.request("book", deadline))
	}
	var others sync.WaitGroup
	defer others.Wait()
	done := make(chan bool)
	defer close(done)
	for range 4 {
		others.Go(func() { // requests that both endpoints answer while they leave the calls unanswered
			for {
				select {
				case <-done:
					return
				default:
					rg.roundTrip(rg.request("read", deadline))
				}
			}
		})
	}
	unanswered.Store(2)
	began, answer := time.Now(), make(chan int)
	for range 2 {
		go func() {
			status, _ := rg.roundTrip(rg.request("book", deadline))
			answer <- status
		}()
	}
	for range 2 {
		if status := <-answer; status != http.StatusOK {
			t.Errorf("status %d after %v", status, time.Since(began))
		}
	}
}
