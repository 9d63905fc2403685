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

// windows is what a sidecar has looked at of the latencies of a class.
func (rg *rig) windows() int { return rg.server.loop.HandoverUpdate(true).Snapshot.Classes[0].Windows }

// out is what a sidecar has at endpoints, and all that it has.
func (rg *rig) out() (n, all int) {
	s := rg.stats()
	return s.Attempts, s.Calls
}

// A successor starts from its predecessor's statistics and counts the requests in flight there:
// where they reach the limit, it waits until a call has ended.
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
	h.until("it has learnt", func() bool {
		h.ask(h.request("read", 9*time.Second))
		return h.windows() > 2
	})
	done := make(chan int, 100)
	ask := func(rg *rig) {
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
	asked := 0
	for out, all := 0, 0; out == all; asked++ {
		ask(h.rig)
		h.until("it has come", func() bool { out, all = h.out(); return all > asked })
	}
	heir := h.startSuccessor(t)
	h.beginShutdown()
	heir.until("it has inherited", func() bool { return heir.windows() > 2 })
	ask(heir)
	asked++
	heir.until("it has come", func() bool { out, all := heir.out(); return all == 1 && out == 0 })
	answer <- true // makes room for the one that the process before holds
	answer <- true
	heir.until("the one that is held goes out", func() bool { out, _ := heir.out(); return out == 1 })
	for close(answer); asked > 0; asked-- {
		if status := <-done; status != 200 {
			t.Errorf("status %d", status)
		}
	}
	h.awaitExit()
}

// An update that cannot be used changes nothing, and one with unusable statistics still counts the
// requests in flight.
func TestInvalidHandoverUpdateChangesNothing(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) {}))
	near, _ := tcpPair(t)
	for name, tc := range map[string]struct {
		text  string
		conns []net.Conn
		taken bool
	}{
		"with a connection": {`{"version":1,"word":{"calls":{"1":3}}}`, []net.Conn{near.Conn}, false},
		"beside an input":   {`{"version":1,"word":{},"input":"AAAA"}`, nil, false},
		"no passage":        {`{"version":1}`, nil, false},
		"no endpoint":       {`{"version":1,"word":{"calls":{"x":3}}}`, nil, false},
		"of its calls":      {`{"version":1,"word":{"calls":{"1":3}}}`, nil, true},
		"that all is over":  {`{"version":1,"word":{}}`, nil, true},
		"faulty figures":    {`{"version":1,"word":{"learnt":{"classes":[]}}}`, nil, true},
	} {
		before, _ := json.Marshal(rg.learnt())
		start, _, ok := rg.server.acceptTransfer([]byte(tc.text), tc.conns)
		if ok != tc.taken {
			t.Errorf("%s: taken is %v", name, ok)
		}
		if ok {
			start()
		}
		if after, _ := json.Marshal(rg.learnt()); string(after) != string(before) {
			t.Errorf("%s: it changed %s to %s", name, before, after)
		}
	}
}

func (rg *rig) learnt() decision.Snapshot { return *rg.server.loop.HandoverUpdate(true).Snapshot }

// A successor of a version without updates declines them; it is sent no more, and connections are
// still transferred.
func TestSuccessorThatDeclinesUpdatesTakesConnections(t *testing.T) {
	h := startHandover(t, func(http.ResponseWriter, *http.Request) {})
	idles := h.connect(1)
	words, passed := make(chan bool, 100), make(chan bool, 1)
	receiver, err := handover.Listen(h.dir, h.server.handoverName())
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	go receiver.Serve(func(state []byte, conns []net.Conn) (start, drop func(), ok bool) {
		if len(conns) == 0 {
			words <- strings.Contains(string(state), "learnt")
			return nil, nil, false
		}
		return func() {
			passed <- true
			conns[0].Close()
		}, func() {}, true
	})
	h.beginShutdown()
	<-passed
	h.awaitExit()
	idles[0].Close()
	if n := len(words); n != 1 || !<-words {
		t.Errorf("%d words to one that declined the first", n)
	}
}
