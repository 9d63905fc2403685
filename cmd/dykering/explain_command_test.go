package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dykering/internal/protocol"
)

func TestExplainModelShowsCopiesDemandAndOrders(t *testing.T) {
	var out strings.Builder
	err := showExplanation(&out, protocol.Explanation{
		Model: "m1", Now: 10 * time.Second, Holds: true,
		Copies:    []protocol.ModelReplica{{Endpoint: "i-1", Zone: "z", State: "ready"}},
		Demand:    []protocol.ServiceDemand{{Service: "s", ModelDemand: protocol.ModelDemand{Rate: 2.5, Unplaced: true}}},
		Decisions: []protocol.Decision{{At: 8 * time.Second, Operation: "loading", Model: "m1", Endpoint: "i-1", Copies: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, expected := range []string{"m1 stands on 1 endpoints", "i-1 in z, ready", "s: 2.50 a second", "some found no endpoint", "2s", "loading"} {
		if !strings.Contains(out.String(), expected) {
			t.Errorf("%q is not in %s", expected, out.String())
		}
	}
}

func TestExplainModelNamesTheLeaseHolderToAsk(t *testing.T) {
	var out strings.Builder
	if err := showExplanation(&out, protocol.Explanation{Model: "m1"}); err != nil || !strings.Contains(out.String(), "does not hold the placement") {
		t.Errorf("%v: %s", err, out.String())
	}
}

func TestExplainRequestsAsksAProxy(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/explain" || r.URL.Query().Get("request") != "id 7" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Write([]byte(`[{"request":"id 7","route":"r","result":"late","cause":"no_copy","spent_ms":{"no_copy":900}}]`))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	requests, err := fetchRequestExplanations(address, "id 7")
	if err != nil || len(requests) != 1 || requests[0].Cause != "no_copy" {
		t.Fatalf("%v, %v", requests, err)
	}
	var out strings.Builder
	if err := showRequests(&out, requests); err != nil || !strings.Contains(out.String(), `{"no_copy":900}`) {
		t.Errorf("%v: %s", err, out.String())
	}
	if _, err := fetchRequestExplanations(address, ""); err == nil {
		t.Error("no error for status 404")
	}
}

func TestExplainRequestsFailsWithoutAProxy(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	if _, err := fetchRequestExplanations(address, ""); err == nil {
		t.Error("no error though no server is listening")
	}
}

func TestExplainLockShowsTheHoldAndRefusedCalls(t *testing.T) {
	held := protocol.LockExplanation{
		Lock: "l", Now: 10 * time.Second, Head: "core-0/1", IsHead: true, Held: true, Holder: "a3.7", FirstToken: 40, Token: 41,
		HoldMs: 3000, EndsAt: 12 * time.Second,
		Events: []protocol.LockEvent{
			{At: 8 * time.Second, Count: 7, Lock: "l", Kind: protocol.LockRefused, Caller: "a4.1", Holder: "a3.7", HolderToken: 41},
		},
	}
	over, free, elsewhere := held, held, held
	over.EndsAt = 9 * time.Second
	free.Held = false
	elsewhere.IsHead = false
	for expected, explanation := range map[string]protocol.LockExplanation{
		"l is held by a3.7 with token 41, taken with token 40, for at most 3s without a renewal; free in 2s unless it is renewed\n": held,
		"2s   refused  7      a4.1    0      a3.7     41":            held,
		"; its time has been over for 1s, the next caller gets it\n": over,
		"l is free\n": free,
		"is not the head: ask core-0/1 for the end of the hold, refusals and takeovers\n": elsewhere,
	} {
		var out strings.Builder
		if err := showLockExplanation(&out, explanation); err != nil || !strings.Contains(out.String(), expected) {
			t.Errorf("%v: %q is not in\n%s", err, expected, out.String())
		}
	}
}
