package http1

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dykering/internal/handover"
)

// A process stops while any part of a response has been relayed, and the client must get the complete
// response. With a successor the old process exits before the response ends, without one it waits.
func TestRelayContinuesInSuccessor(t *testing.T) {
	body, statusLine := string(checkableBody(300000)), "HTTP/1.1 200 OK\r\n"
	chunkedHead := statusLine + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
	n := len(chunkedHead)
	atEachCut(t, map[string][]string{
		"length": splitAt(statusLine+"Content-Length: 300000\r\n\r\n"+body, 15, 43, 1000, 250000),
		"chunks": splitAt(chunkedHead+chunkedText(body), 15, n, n+2, n+20000, n+50009, n+100018, -20, -16, -8, -2),
		"close":  splitAt(statusLine+"\r\n"+body, 10, 19, 1000, 250000),
	}, func(t *testing.T, h *handoverRig, name string, pieces []string, cut int, hasSuccessor bool) {
		t.Helper()
		c := h.dial()
		r := h.request("once", 9*time.Second)
		r.Write(c)
		h.nextRequest()
		for _, piece := range pieces[:cut] {
			h.sendPiece(piece)
		}
		streaming := cut >= 4 && cut < len(pieces) // more than streamPrefix has been sent, so the relay has begun
		if streaming {
			h.awaitState(stateStreaming)
		}
		var successor *rig
		if hasSuccessor {
			successor = h.startSuccessor(t)
		}
		h.beginShutdown()
		if hasSuccessor && streaming {
			h.awaitExit()
			successor.awaitState(stateStreaming)
		}
		for _, piece := range pieces[cut:] {
			h.sendPiece(piece)
		}
		h.sendPiece("") // ends the endpoint's connection
		answers := bufio.NewReader(c)
		res, err := http.ReadResponse(answers, r)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode != http.StatusOK || string(text) != body ||
			name == "chunks" && res.Trailer.Get("X-Sum") != "done" {
			t.Errorf("%d bytes, %v, %+v", len(text), err, res)
		}
		if !hasSuccessor || !streaming {
			h.awaitExit()
		} else if !res.Close { // the successor serves the connection's next request
			r := h.request("once", 9*time.Second)
			r.Write(c)
			h.nextRequest()
			h.sendPiece(statusLine + "Content-Length: 1\r\n\r\n!")
			if res, err := http.ReadResponse(answers, r); err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("next request at the successor: %+v, %v", res, err)
			}
			successor.awaitNothingBuffered()
		}
	})
}

// A slow client gets its complete response through several successive handovers, both before and
// after the endpoint has sent all of it.
func TestRelayToSlowClientContinuesThroughSuccessors(t *testing.T) {
	const n = 24 << 20 // more than the socket buffers hold, given the receive buffer that is set below
	body := checkableBody(n)
	h := startHandover(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(n))
		w.Write(body)
	})
	c := h.dial()
	if err := c.SetReadBuffer(64 << 10); err != nil { // the kernel would otherwise let it grow to any size
		t.Fatal(err)
	}
	r := h.request("read", 9*time.Second)
	r.Write(c)
	res, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	current := h.rig
	for range 4 {
		io.CopyN(&got, res.Body, 500000)
		next := h.startSuccessor(t)
		current.beginShutdown()
		current.awaitExit()
		next.awaitState(stateStreaming)
		current = next
	}
	if _, err := io.Copy(&got, res.Body); err != nil || !bytes.Equal(got.Bytes(), body) {
		t.Errorf("%d bytes, %v", got.Len(), err)
	}
	current.awaitState(stateIdle)
	current.awaitNothingBuffered()
}

const requestHead = "POST /api?q=1 HTTP/1.1\r\nHost: h\r\nX-Txn: t-1\r\nX-Lane: once\r\nX-Remaining: 9000m\r\n"

// A process stops after any byte of a request. The request must be served exactly once, as the client
// wrote it.
func TestRequestTransferredAtAnyByteIsServedOnce(t *testing.T) {
	body := string(checkableBody(300000))
	short, long := requestHead+"Content-Length: 1000\r\n\r\n", requestHead+"Content-Length: 300000\r\n\r\n"
	chunked := requestHead + "Transfer-Encoding: chunked\r\n\r\n"
	s, l, n := len(short), len(long), len(chunked)
	atEachCut(t, map[string][]string{
		"short":  splitAt(short+body[:1000], 10, s-2, s+400),
		"long":   splitAt(long+body, 10, l-2, l+400, l+100000, -1),
		"chunks": splitAt(chunked+chunkedText(body), 10, n-2, n+2, n+400, n+50009, n+100000, n+100019, -20, -8, -1),
	}, func(t *testing.T, h *handoverRig, name string, pieces []string, cut int, hasSuccessor bool) {
		t.Helper()
		c := h.dial()
		h.awaitAccepted(c)
		for _, piece := range pieces[:cut] {
			io.WriteString(c, piece)
		}
		h.awaitAllRead()
		if h.server.handoverGrace = time.Minute; hasSuccessor { // without a successor the request is served here
			h.server.handoverGrace = 0
			h.startSuccessor(t)
		}
		http.DefaultClient.CloseIdleConnections()
		h.beginShutdown()
		for _, piece := range pieces[cut:] {
			io.WriteString(c, piece)
			h.awaitAllRead()
		}
		length := 300000
		if name == "short" {
			length = 1000
		}
		if want, got := fmt.Sprintf("t-1 %d %x <nil>", length, body[:8]), h.nextRequest(); got != want {
			t.Errorf("the endpoint got %q, want %q", got, want)
		}
		h.sendPiece("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("%+v, %v", res, err)
		}
		if h.awaitExit(); len(h.requests) > 0 {
			t.Errorf("the endpoint got another request: %s", h.nextRequest())
		}
	})
}

// A transferred upload has one attempt, and the client's answer follows from its outcome.
func TestTransferredUploadIsAnsweredByItsOnlyAttempt(t *testing.T) {
	body := checkableBody(300000)
	for name, test := range map[string]struct {
		answer string // empty for a close of the connection without an answer
		status int
	}{
		"served":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", http.StatusOK},
		"error":     {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway},
		"rejected":  {"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
		"reset":     {"", http.StatusBadGateway},
		"malformed": {"what?\r\n\r\n", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHandover(t, nil)
			c := h.dial()
			io.WriteString(c, requestHead+"Content-Length: 300000\r\n\r\n")
			c.Write(body[:200000])
			// Before its attempt begins, an upload is transferred as an undispatched request instead.
			h.until("the attempt is in flight", func() bool { return h.stats().Attempts == 1 })
			h.awaitAllRead()
			successor := h.startSuccessor(t)
			h.beginShutdown()
			h.awaitExit()
			c.Write(body[200000:])
			h.nextRequest()
			h.sendPiece(test.answer)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || res.StatusCode != test.status || test.status == 503 && res.Header.Get("Retry-After") == "" {
				t.Fatalf("%+v, %v", res, err)
			}
			c.Close()
			successor.awaitNothingBuffered()
		})
	}
}

// A connection that the successor declines because it has no capacity is served by the old process.
func TestDeclinedConnectionIsServedByOldProcess(t *testing.T) {
	h := startHandover(t, nil)
	c := h.dial()
	r := h.request("once", 9*time.Second)
	r.Write(c)
	h.nextRequest()
	successor := h.startSuccessor(t)
	successor.server.clients.mu.Lock()
	successor.server.clients.limit = 0
	successor.server.clients.mu.Unlock()
	pieces := splitAt("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"+string(checkableBody(300000)), 100000)
	h.sendPiece(pieces[0])
	h.awaitState(stateStreaming)
	h.beginShutdown()
	streamed := h.server.clients.byState[stateStreaming].Front().Value.(*downstreamConn).stream.(*relay)
	h.until("a transfer has been tried", func() bool {
		streamed.mu.Lock()
		defer streamed.mu.Unlock()
		return !streamed.notBefore.IsZero()
	})
	h.sendPiece(pieces[1])
	if res, err := http.ReadResponse(bufio.NewReader(c), r); err != nil {
		t.Error(err)
	} else if text, err := io.ReadAll(res.Body); err != nil || !bytes.Equal(text, checkableBody(300000)) {
		t.Errorf("%d bytes, %v", len(text), err)
	}
	h.awaitExit()
}

// A successor that hangs, from the start or after the first update, keeps a copy of each socket that
// it was offered. The old process must serve and close these connections so that the client receives
// the close. Otherwise the client would send further requests that no process reads.
func TestConnectionsOfferedToHungSuccessorAreServedAndClosed(t *testing.T) {
	for _, acceptsState := range []bool{false, true} {
		h := startHandover(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
		idleConn, activeConn := h.dial(), h.dial()
		for _, c := range []*net.TCPConn{idleConn, activeConn} {
			if res := h.send(c, h.request("once", 9*time.Second)); res == nil || res.StatusCode != http.StatusOK || res.Close {
				t.Fatalf("%+v", res)
			}
		}
		hungSuccessor, err := handover.Listen(h.dir, h.server.handoverName())
		if err != nil {
			t.Fatal(err)
		}
		release := make(chan bool)
		t.Cleanup(func() {
			close(release)
			hungSuccessor.Close()
		})
		if acceptsState {
			go hungSuccessor.Serve(func(_ []byte, conns []net.Conn) (start, drop func(), ok bool) {
				if len(conns) > 0 {
					<-release
				}
				return func() {}, func() {}, true
			})
		}
		h.beginShutdown()
		h.until("the successor has been found", func() bool { return h.server.successor.Load() != nil })
		res := h.send(activeConn, h.request("once", 9*time.Second))
		if res == nil || res.StatusCode != http.StatusOK && res.Header.Get("Retry-After") == "" {
			t.Errorf("accepts updates %v: request during the shutdown: %+v", acceptsState, res)
		}
		for name, c := range map[string]*net.TCPConn{"idle": idleConn, "active": activeConn} {
			c.SetDeadline(time.Now().Add(testTimeout / 4))
			if n, err := c.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
				t.Errorf("accepts updates %v, %s connection: %d bytes, %v, want a close", acceptsState, name, n, err)
			}
		}
		h.awaitExit()
	}
}

// A malformed transfer is declined, and no capacity stays reserved for a transfer that is declined or
// dropped.
func TestMalformedTransfersAreDeclined(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) {}))
	near, _ := tcpPair(t)
	far, _ := tcpPair(t)
	valid := connTransfer{Version: transferVersion, Relay: &relayState{Length: 10, Read: 3, ReadLimit: 99}}
	text := func(change func(*connTransfer)) string {
		p, l := valid, *valid.Relay
		p.Relay = &l
		change(&p)
		b, _ := json.Marshal(p)
		return string(b)
	}
	for name, state := range map[string]string{
		"no JSON":                "{",
		"another version":        text(func(p *connTransfer) { p.Version++ }),
		"one connection":         text(func(p *connTransfer) { p.Relay = nil }),
		"read beyond the length": text(func(p *connTransfer) { p.Relay.Read = 11 }),
		"too long":               text(func(p *connTransfer) { p.Relay.Length = maxStreamedBody + 1 }),
		"relay and upload":       text(func(p *connTransfer) { p.Upload = &uploadState{Length: 10} }),
		"unknown chunk stage":    text(func(p *connTransfer) { p.Relay.Length, p.Relay.Chunks = -1, &chunkedReader{Stage: 9} }),
		"chunks and length":      text(func(p *connTransfer) { p.Relay.Chunks = &chunkedReader{} }),
		"too long answer timeout": text(func(p *connTransfer) {
			p.Relay, p.Upload = nil, &uploadState{Length: 10, AnswerTimeout: 2 * maxRemaining}
		}),
		"more remaining than the length": text(func(p *connTransfer) {
			p.Relay, p.Upload = nil, &uploadState{Length: 10, Remaining: 11}
		}),
	} {
		if _, _, ok := rg.server.acceptTransfer([]byte(state), []net.Conn{near.Conn, far.Conn}); ok {
			t.Errorf("%s: transfer was accepted", name)
		}
	}
	_, drop, ok := rg.server.acceptTransfer([]byte(text(func(*connTransfer) {})), []net.Conn{near.Conn, far.Conn})
	if !ok {
		t.Fatal("a valid transfer was declined")
	}
	drop()
	if rg.stats().Conns != 0 {
		t.Errorf("%d connections are still reserved after the drop", rg.stats().Conns)
	}
}

// Clients send requests continuously during several handovers. No request may be lost, rejected or
// executed twice, and each answer must belong to its request.
func TestRepeatedHandoversLoseAndRepeatNothing(t *testing.T) {
	var executed, sent atomic.Int64
	serve := func(w http.ResponseWriter, r *http.Request) {
		executed.Add(1)
		n, _ := io.Copy(io.Discard, r.Body)
		w.Write(checkableBody(int(n)))
	}
	h := startHandover(t, serve)
	// With a single endpoint, some requests were rejected on a busy machine without any handover: more
	// requests waited than the balancer queues for one slow endpoint.
	for i := range 3 {
		h.targets = append(h.targets, endpointServing(t, fmt.Sprintf("s-%d", i+2), serve))
	}
	current := h.startSuccessor(t)
	h.beginShutdown()
	h.awaitExit()
	var done atomic.Bool
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for k := 0; !done.Load(); k++ {
				size := []int{10, 30000, 100000, 400000}[(i+k)%4]
				r, _ := http.NewRequest(http.MethodPost, h.url+"/api", struct{ io.Reader }{bytes.NewReader(make([]byte, size))})
				r.ContentLength = int64(k%2*size) - int64(1-k%2)
				r.Header = http.Header{"X-Txn": {fmt.Sprintf("c%d-%d", i, k)}, "X-Lane": {"once"}, "X-Remaining": {"9000m"}}
				sent.Add(1)
				res, err := client.Do(r)
				if err != nil {
					t.Error(err)
					continue
				}
				text, err := io.ReadAll(res.Body)
				res.Body.Close()
				if err != nil || res.StatusCode != http.StatusOK || !bytes.Equal(text, checkableBody(size)) {
					t.Errorf("%d bytes of %d, %v, %s", len(text), size, err, res.Status)
				}
			}
		})
	}
	for i := range 5 {
		current.server.handoverGrace = time.Duration(i%2) * handoverGrace
		before := sent.Load()
		current.until("clients have sent more requests", func() bool { return sent.Load() > before+40 })
		next := h.startSuccessor(t)
		current.beginShutdown()
		current.awaitExit()
		current = next
	}
	done.Store(true)
	if clients.Wait(); executed.Load() != sent.Load() {
		t.Errorf("%d requests executed of %d", executed.Load(), sent.Load())
	}
}
