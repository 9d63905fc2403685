package http1

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dykering/internal/decision"
	"dykering/internal/handover"
)

// latencyWindows returns how many windows of latencies the server has evaluated for the first class.
func (rg *rig) latencyWindows() int {
	return rg.server.loop.HandoverUpdate(true).Snapshot.Classes[0].Windows
}

// attemptsAndCalls returns the number of attempts in flight and of open calls.
func (rg *rig) attemptsAndCalls() (attempts, calls int) {
	s := rg.stats()
	return s.Attempts, s.Calls
}

// A successor starts with its predecessor's statistics and counts the predecessor's requests in
// flight. When they reach the limit, it sends a new request only after one of them has ended.
func TestSuccessorCountsRequestsInFlightAtPredecessor(t *testing.T) {
	answer := make(chan bool)
	h := startHandover(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			io.Copy(io.Discard, r.Body)
			select {
			case <-answer:
			case <-r.Context().Done():
			}
		}
	})
	h.until("the server has statistics", func() bool {
		h.roundTrip(h.request("read", 9*time.Second))
		return h.latencyWindows() > 2
	})
	done := make(chan int, 100)
	send := func(rg *rig) {
		r := rg.request("once", 9*time.Second)
		go func() {
			res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
			if err != nil {
				done <- 0
				return
			}
			res.Body.Close()
			done <- res.StatusCode
		}()
	}
	sent := 0
	for attempts, calls := 0, 0; attempts == calls; sent++ {
		send(h.rig)
		h.until("the request has been received", func() bool { attempts, calls = h.attemptsAndCalls(); return calls > sent })
	}
	successor := h.startSuccessor(t)
	h.beginShutdown()
	successor.until("the successor has the statistics", func() bool { return successor.latencyWindows() > 2 })
	send(successor)
	sent++
	successor.until("the request has been received", func() bool {
		attempts, calls := successor.attemptsAndCalls()
		return calls == 1 && attempts == 0
	})
	answer <- true // lets the predecessor send its waiting request
	answer <- true // makes room for the waiting request of the successor
	successor.until("the waiting request is sent", func() bool { attempts, _ := successor.attemptsAndCalls(); return attempts == 1 })
	for close(answer); sent > 0; sent-- {
		if status := <-done; status != 200 {
			t.Errorf("status %d", status)
		}
	}
	h.awaitExit()
}

// An invalid update is declined. An update with invalid statistics is accepted for its requests in
// flight. Neither changes the server's statistics.
func TestInvalidHandoverUpdateChangesNothing(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) {}))
	near, _ := tcpPair(t)
	for name, tc := range map[string]struct {
		text     string
		conns    []net.Conn
		accepted bool
	}{
		"update with a connection":      {`{"version":1,"word":{"calls":{"1":3}}}`, []net.Conn{near.Conn}, false},
		"update with input":             {`{"version":1,"word":{},"input":"AAAA"}`, nil, false},
		"neither update nor connection": {`{"version":1}`, nil, false},
		"invalid endpoint id":           {`{"version":1,"word":{"calls":{"x":3}}}`, nil, false},
		"requests in flight":            {`{"version":1,"word":{"calls":{"1":3}}}`, nil, true},
		"no requests in flight":         {`{"version":1,"word":{}}`, nil, true},
		"invalid statistics":            {`{"version":1,"word":{"learnt":{"classes":[]}}}`, nil, true},
	} {
		before, _ := json.Marshal(rg.snapshot())
		start, _, ok := rg.server.acceptTransfer([]byte(tc.text), tc.conns)
		if ok != tc.accepted {
			t.Errorf("%s: accepted is %v", name, ok)
		}
		if ok {
			start()
		}
		if after, _ := json.Marshal(rg.snapshot()); string(after) != string(before) {
			t.Errorf("%s: the statistics changed from %s to %s", name, before, after)
		}
	}
}

// snapshot returns the statistics that the server would send to a successor.
func (rg *rig) snapshot() decision.Snapshot { return *rg.server.loop.HandoverUpdate(true).Snapshot }

// A successor of a release that does not know updates declines the first one. It is sent no more of
// them, and connections are still transferred.
func TestSuccessorThatDeclinesUpdatesTakesConnections(t *testing.T) {
	h := startHandover(t, func(http.ResponseWriter, *http.Request) {})
	idleConns := h.openIdleConns(1)
	updates, transferred := make(chan bool, 100), make(chan bool, 1)
	receiver, err := handover.Listen(h.dir, h.server.handoverName())
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	go receiver.Serve(func(state []byte, conns []net.Conn) (start, drop func(), ok bool) {
		if len(conns) == 0 {
			updates <- strings.Contains(string(state), "learnt")
			return nil, nil, false
		}
		return func() {
			transferred <- true
			conns[0].Close()
		}, func() {}, true
	})
	h.beginShutdown()
	<-transferred
	h.awaitExit()
	idleConns[0].Close()
	if n := len(updates); n != 1 || !<-updates {
		t.Errorf("%d updates were sent, want one with statistics, which was declined", n)
	}
}
