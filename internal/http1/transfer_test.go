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

// A response is not lost whatever part of it has been relayed when the process stops: with a
// successor the old process need not wait for its end, and without one it does.
func TestRelayContinuesInSuccessor(t *testing.T) {
	body, ok := string(checkableBody(300000)), "HTTP/1.1 200 OK\r\n"
	parts := ok + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
	n := len(parts)
	atEachCut(t, map[string][]string{
		"length": splitAt(ok+"Content-Length: 300000\r\n\r\n"+body, 15, 43, 1000, 250000),
		"chunks": splitAt(parts+chunkedText(body), 15, n, n+2, n+20000, n+50009, n+100018, -20, -16, -8, -2),
		"close":  splitAt(ok+"\r\n"+body, 10, 19, 1000, 250000),
	}, func(t *testing.T, h *handoverRig, name string, pieces []string, after int, succeeded bool) {
		t.Helper()
		c := h.dial()
		r := h.request("once", 9*time.Second)
		r.Write(c)
		h.nextRequest()
		for _, piece := range pieces[:after] {
			h.sendPiece(piece)
		}
		begun := after >= 4 && after < len(pieces) // more than what is held of an answer before it begins
		if begun {
			h.awaitState(stateStreaming)
		}
		var heir *rig
		if succeeded {
			heir = h.startSuccessor(t)
		}
		h.beginShutdown()
		if succeeded && begun {
			h.awaitExit()
			heir.awaitState(stateStreaming)
		}
		for _, piece := range pieces[after:] {
			h.sendPiece(piece)
		}
		h.sendPiece("") // the end of its connection
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
		if !succeeded || !begun {
			h.awaitExit()
		} else if !res.Close { // its connection serves on
			r := h.request("once", 9*time.Second)
			r.Write(c)
			h.nextRequest()
			h.sendPiece(ok + "Content-Length: 1\r\n\r\n!")
			if res, err := http.ReadResponse(answers, r); err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("afterwards: %+v, %v", res, err)
			}
			heir.awaitNothingBuffered()
		}
	})
}

// A slow client gets its complete response through any number of successors, whether or not the
// endpoint has sent all of it.
func TestRelayToSlowClientContinuesThroughSuccessors(t *testing.T) {
	const n = 24 << 20 // more than the kernel holds of what the caller has not read: its own buffer is set below
	body := checkableBody(n)
	h := startHandover(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(n))
		w.Write(body)
	})
	c := h.dial()
	if err := c.SetReadBuffer(64 << 10); err != nil { // left alone, the kernel lets it grow to any size
		t.Fatal(err)
	}
	r := h.request("read", 9*time.Second)
	r.Write(c)
	res, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	now := h.rig
	for range 4 {
		io.CopyN(&got, res.Body, 500000)
		next := h.startSuccessor(t)
		now.beginShutdown()
		now.awaitExit()
		next.awaitState(stateStreaming)
		now = next
	}
	if _, err := io.Copy(&got, res.Body); err != nil || !bytes.Equal(got.Bytes(), body) {
		t.Errorf("%d bytes, %v", got.Len(), err)
	}
	now.awaitState(stateIdle)
	now.awaitNothingBuffered()
}

const bookLine = "POST /api?q=1 HTTP/1.1\r\nHost: h\r\nX-Txn: t-1\r\nX-Lane: once\r\nX-Remaining: 9000m\r\n"

// A request is served once, as its client wrote it, at whatever byte of it the process stops.
func TestRequestTransferredAtAnyByteIsServedOnce(t *testing.T) {
	body := string(checkableBody(300000))
	short, long := bookLine+"Content-Length: 1000\r\n\r\n", bookLine+"Content-Length: 300000\r\n\r\n"
	parts := bookLine + "Transfer-Encoding: chunked\r\n\r\n"
	s, l, n := len(short), len(long), len(parts)
	atEachCut(t, map[string][]string{
		"short":  splitAt(short+body[:1000], 10, s-2, s+400),
		"long":   splitAt(long+body, 10, l-2, l+400, l+100000, -1),
		"chunks": splitAt(parts+chunkedText(body), 10, n-2, n+2, n+400, n+50009, n+100000, n+100019, -20, -8, -1),
	}, func(t *testing.T, h *handoverRig, name string, pieces []string, after int, succeeded bool) {
		t.Helper()
		c := h.dial()
		h.awaitAccepted(c)
		for _, piece := range pieces[:after] {
			io.WriteString(c, piece)
		}
		h.awaitAllRead()
		if h.server.handoverGrace = time.Minute; succeeded { // without a successor there is nobody to pass it to
			h.server.handoverGrace = 0
			h.startSuccessor(t)
		}
		http.DefaultClient.CloseIdleConnections()
		h.beginShutdown()
		for _, piece := range pieces[after:] {
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
		if h.awaitExit(); len(h.got) > 0 {
			t.Errorf("the endpoint got more: %s", h.nextRequest())
		}
	})
}

// A transferred upload gets the answer that follows from the outcome of its only attempt.
func TestTransferredUploadIsAnsweredByItsOnlyAttempt(t *testing.T) {
	body := checkableBody(300000)
	for name, test := range map[string]struct {
		answer string // "" for none, and an end of the connection
		status int
	}{
		"served":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", http.StatusOK},
		"error":       {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway},
		"turned away": {"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
		"reset":       {"", http.StatusBadGateway},
		"noise":       {"what?\r\n\r\n", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHandover(t, nil)
			c := h.dial()
			io.WriteString(c, bookLine+"Content-Length: 300000\r\n\r\n")
			c.Write(body[:200000])
			// An upload that nothing has been decided about is passed on whole, and decided about there.
			h.until("its attempt is out", func() bool { return h.stats().Attempts == 1 })
			h.awaitAllRead()
			heir := h.startSuccessor(t)
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
			heir.awaitNothingBuffered()
		})
	}
}

// A connection that the successor declines, for want of capacity, is served by the old process.
func TestDeclinedConnectionIsServedByOldProcess(t *testing.T) {
	h := startHandover(t, nil)
	c := h.dial()
	r := h.request("once", 9*time.Second)
	r.Write(c)
	h.nextRequest()
	heir := h.startSuccessor(t)
	heir.server.clients.mu.Lock()
	heir.server.clients.limit = 0
	heir.server.clients.mu.Unlock()
	pieces := splitAt("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"+string(checkableBody(300000)), 100000)
	h.sendPiece(pieces[0])
	h.awaitState(stateStreaming)
	h.beginShutdown()
	tried := h.server.clients.byState[stateStreaming].Front().Value.(*downstreamConn).stream.(*relay)
	h.until("it has been tried", func() bool {
		tried.mu.Lock()
		defer tried.mu.Unlock()
		return !tried.notBefore.IsZero()
	})
	h.sendPiece(pieces[1])
	if res, err := http.ReadResponse(bufio.NewReader(c), r); err != nil {
		t.Error(err)
	} else if text, err := io.ReadAll(res.Body); err != nil || !bytes.Equal(text, checkableBody(300000)) {
		t.Errorf("%d bytes, %v", len(text), err)
	}
	h.awaitExit()
}

// A successor that hangs, from the start or after the first update, keeps a copy of each connection
// that it was offered. Such a connection is served and closed by the old process: the client sees
// the close, and sends nothing more that nobody reads.
func TestConnectionsOfferedToHungSuccessorAreServedAndClosed(t *testing.T) {
	for _, figures := range []bool{false, true} {
		h := startHandover(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
		resting, asking := h.dial(), h.dial()
		for _, c := range []*net.TCPConn{resting, asking} {
			if res := h.send(c, h.request("once", 9*time.Second)); res == nil || res.StatusCode != http.StatusOK || res.Close {
				t.Fatalf("%+v", res)
			}
		}
		still, err := handover.Listen(h.dir, h.server.handoverName())
		if err != nil {
			t.Fatal(err)
		}
		over := make(chan bool)
		t.Cleanup(func() {
			close(over)
			still.Close()
		})
		if figures {
			go still.Serve(func(_ []byte, conns []net.Conn) (start, drop func(), ok bool) {
				if len(conns) > 0 {
					<-over
				}
				return func() {}, func() {}, true
			})
		}
		h.beginShutdown()
		h.until("it hands over", func() bool { return h.server.successor.Load() != nil })
		if res := h.send(asking, h.request("once", 9*time.Second)); res == nil || res.StatusCode != http.StatusOK && res.Header.Get("Retry-After") == "" {
			t.Errorf("figures %v: asked while it ends: %+v", figures, res)
		}
		for name, c := range map[string]*net.TCPConn{"resting": resting, "asking": asking} {
			c.SetDeadline(time.Now().Add(testTimeout / 4))
			if n, err := c.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
				t.Errorf("figures %v, %s: %d bytes, %v: want the end", figures, name, n, err)
			}
		}
		h.awaitExit()
	}
}

// A malformed transfer is declined and leaves nothing behind.
func TestMalformedTransfersAreDeclined(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) {}))
	near, _ := tcpPair(t)
	far, _ := tcpPair(t)
	good := connTransfer{Version: transferVersion, Relay: &relayState{Length: 10, Read: 3, ReadLimit: 99}}
	text := func(change func(*connTransfer)) string {
		p, l := good, *good.Relay
		p.Relay = &l
		change(&p)
		b, _ := json.Marshal(p)
		return string(b)
	}
	for name, state := range map[string]string{
		"no JSON":           "{",
		"another version":   text(func(p *connTransfer) { p.Version++ }),
		"one connection":    text(func(p *connTransfer) { p.Relay = nil }),
		"read beyond":       text(func(p *connTransfer) { p.Relay.Read = 11 }),
		"too long":          text(func(p *connTransfer) { p.Relay.Length = maxStreamedBody + 1 }),
		"both":              text(func(p *connTransfer) { p.Upload = &uploadState{Length: 10} }),
		"a stage of none":   text(func(p *connTransfer) { p.Relay.Length, p.Relay.Chunks = -1, &chunkedReader{Stage: 9} }),
		"chunks and length": text(func(p *connTransfer) { p.Relay.Chunks = &chunkedReader{} }),
		"an endless wait": text(func(p *connTransfer) {
			p.Relay, p.Upload = nil, &uploadState{Length: 10, AnswerTimeout: 2 * maxRemaining}
		}),
		"more than all": text(func(p *connTransfer) { p.Relay, p.Upload = nil, &uploadState{Length: 10, Remaining: 11} }),
	} {
		if _, _, ok := rg.server.acceptTransfer([]byte(state), []net.Conn{near.Conn, far.Conn}); ok {
			t.Errorf("%s: taken", name)
		}
	}
	_, drop, ok := rg.server.acceptTransfer([]byte(text(func(*connTransfer) {})), []net.Conn{near.Conn, far.Conn})
	if !ok {
		t.Fatal("a good one is declined")
	}
	drop()
	if rg.stats().Conns != 0 {
		t.Error("a place that was dropped is still taken")
	}
}

// Clients that go on sending requests while one process after another takes over lose nothing and
// are never rejected: each answer is the one to its request, and no request is executed twice.
func TestRepeatedHandoversLoseAndRepeatNothing(t *testing.T) {
	var ran, asked atomic.Int64
	serve := func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		n, _ := io.Copy(io.Discard, r.Body)
		w.Write(checkableBody(int(n)))
	}
	h := startHandover(t, serve)
	// Before one endpoint alone so many callers were refused now and then on a crowded machine, with no process near its end:
	// more waited than the decisions hold before one that is slow.
	for i := range 3 {
		h.targets = append(h.targets, endpointServing(t, fmt.Sprintf("s-%d", i+2), serve))
	}
	now := h.startSuccessor(t)
	h.beginShutdown()
	h.awaitExit()
	var done atomic.Bool
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for k := 0; !done.Load(); k++ {
				size := []int{10, 30000, 100000, 400000}[(i+k)%4]
				r, _ := http.NewRequest(http.MethodPost, h.url+"/api", struct{ io.Reader }{bytes.NewReader(make([]byte, size))})
				r.ContentLength = int64(k%2*size) - int64(1-k%2)
				r.Header = http.Header{"X-Txn": {fmt.Sprintf("c%d-%d", i, k)}, "X-Lane": {"once"}, "X-Remaining": {"9000m"}}
				asked.Add(1)
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
		now.server.handoverGrace = time.Duration(i%2) * handoverGrace
		before := asked.Load()
		now.until("callers ask", func() bool { return asked.Load() > before+40 })
		next := h.startSuccessor(t)
		now.beginShutdown()
		now.awaitExit()
		now = next
	}
	done.Store(true)
	if callers.Wait(); ran.Load() != asked.Load() {
		t.Errorf("%d ran of %d", ran.Load(), asked.Load())
	}
}
