package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Responses of each length and framing arrive completely at HTTP/1.1 and HTTP/1.0 clients, and the
// connections of HTTP/1.1 clients stay open.
func TestResponsesOfEachLengthAndFramingAreRelayedCompletely(t *testing.T) {
	body := checkableBody(3 << 20)
	framing := "" // of the endpoint's response
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		n := len(body)
		fmt.Sscan(r.URL.Query().Get("n"), &n)
		switch framing {
		case "length":
			w.Header().Set("Content-Length", fmt.Sprint(n))
			w.Write(body[:n])
		case "chunks":
			w.Header().Set("Trailer", "X-Sum")
			for at := 0; at < n; at += 10000 {
				w.Write(body[at:min(at+10000, n)])
				w.(http.Flusher).Flush()
			}
			w.Header().Set("X-Sum", "done")
		case "close":
			c, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			buffered.WriteString("HTTP/1.1 200 OK\r\n\r\n")
			buffered.Write(body[:n])
			buffered.Flush()
		}
	}))
	for _, framing = range []string{"length", "chunks", "close"} {
		for _, n := range []int{0, 1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, len(body)} {
			for _, http10 := range []bool{false, true} {
				r := rg.request("read", 9*time.Second)
				r.URL.RawQuery = fmt.Sprint("n=", n)
				var text bytes.Buffer
				r.Write(&text)
				if http10 {
					text = *bytes.NewBufferString(strings.Replace(text.String(), "HTTP/1.1", "HTTP/1.0", 1))
				}
				c := rg.dial()
				c.Write(text.Bytes())
				res, err := http.ReadResponse(bufio.NewReader(c), r)
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(res.Body)
				if err != nil || res.StatusCode != http.StatusOK || !bytes.Equal(got, body[:n]) || res.Close != http10 {
					t.Errorf("%s, %d bytes, HTTP/1.0 %v: got %d bytes, %v, %+v", framing, n, http10, len(got), err, res)
				}
				if framing == "chunks" && n == len(body) && !http10 && res.Trailer.Get("X-Sum") != "done" {
					t.Errorf("trailer %v", res.Trailer)
				}
			}
		}
	}
	rg.awaitNothingBuffered()
}

// Request bodies of each length and framing are forwarded completely.
func TestRequestBodiesOfEachLengthAndFramingAreForwardedCompletely(t *testing.T) {
	body := checkableBody(3 << 20)
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		got, err := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%d %v %v %s", len(got), bytes.Equal(got, body[:len(got)]), err, r.Trailer.Get("X-Sum"))
	}))
	for _, chunked := range []bool{false, true} {
		for _, n := range []int{1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, len(body)} {
			r := rg.request("book", 9*time.Second)
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body[:n])), int64(n)
			want := fmt.Sprintf("%d true <nil> ", n)
			if chunked {
				r.ContentLength = -1
				r.Trailer = http.Header{"X-Sum": {"done"}}
				if n >= maxBufferedBody { // trailers of a buffered body are not forwarded
					want += "done"
				}
			}
			if status, got := rg.roundTrip(r); status != 200 || got != want {
				t.Errorf("chunked %v, %d bytes: got %d %q", chunked, n, status, got)
			}
		}
	}
	rg.awaitNothingBuffered()
}

// A receiver that does not read slows the sender down, in both directions: the server buffers a
// bounded number of bytes, and the rest arrives once the receiver reads.
func TestSlowReceiverSlowsSenderDown(t *testing.T) {
	const n = 24 << 20
	body := checkableBody(n)
	var written atomic.Int64
	proceed := make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Header().Set("Content-Length", fmt.Sprint(n))
			for stalledAt := 0; stalledAt < n; stalledAt += 1 << 16 {
				if _, err := w.Write(body[stalledAt : stalledAt+1<<16]); err != nil {
					t.Error(err)
				}
				written.Add(1 << 16)
			}
			return
		}
		<-proceed
		got, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, bytes.Equal(got, body))
	}))
	// awaitStall waits until the sender can write no more, and returns how many bytes it has written.
	awaitStall := func() int64 {
		for last := int64(-1); ; {
			now := written.Load()
			if now > 0 && now == last {
				return now
			}
			last = now
			time.Sleep(300 * time.Millisecond)
		}
	}
	c := rg.dial()
	rg.request("read", 9*time.Second).Write(c)
	if stalledAt := awaitStall(); stalledAt >= n {
		t.Errorf("the endpoint could write %d bytes that the client did not read", stalledAt)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(res.Body); err != nil || !bytes.Equal(got, body) {
		t.Errorf("%d bytes arrived, %v", len(got), err)
	}
	written.Store(0)
	c = rg.dial()
	r := rg.request("once", 9*time.Second)
	r.Body, r.ContentLength = io.NopCloser(io.TeeReader(bytes.NewReader(body), countingWriter{&written})), n
	go r.Write(c)
	if stalledAt := awaitStall(); stalledAt >= n {
		t.Errorf("the client could write %d bytes that the endpoint did not read", stalledAt)
	}
	proceed <- true
	if res, err = http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(res.Body); string(got) != "true" {
		t.Errorf("got %q", got)
	}
	rg.awaitNothingBuffered()
}

// countingWriter counts the bytes that are written to it.
type countingWriter struct{ n *atomic.Int64 }

func (c countingWriter) Write(b []byte) (int, error) {
	c.n.Add(int64(len(b)))
	return len(b), nil
}

// A client can detect that a response is truncated, whatever its framing.
func TestTruncatedResponseIsVisibleToClient(t *testing.T) {
	for _, head := range []string{"Content-Length: 200000\r\n", "Transfer-Encoding: chunked\r\n"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
				c, buffered, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				buffered.WriteString("HTTP/1.1 200 OK\r\n" + head + "\r\n")
				if strings.HasPrefix(head, "T") {
					buffered.WriteString("186a0\r\n")
				}
				buffered.Write(checkableBody(100000))
				buffered.Flush()
				c.Close()
			}))
			r := rg.request("once", 9*time.Second)
			var text bytes.Buffer
			r.Write(&text)
			c := rg.dial()
			io.WriteString(c, strings.Replace(text.String(), "HTTP/1.1", version, 1))
			res, err := http.ReadResponse(bufio.NewReader(c), r)
			if err == nil {
				_, err = io.ReadAll(res.Body)
			}
			if err == nil {
				t.Errorf("%q to %s: truncated response looks complete", head, version)
			}
			rg.awaitNothingBuffered()
		}
	}
}

// An endpoint can detect that a request body is truncated, and the client gets an error or a close.
func TestTruncatedRequestBodyIsVisibleToEndpoint(t *testing.T) {
	arrived, bodyErr := make(chan bool, 1), make(chan error, 1)
	rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		arrived <- true
		_, err := io.ReadAll(r.Body)
		bodyErr <- err
	}))
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: once\r\nX-Remaining: 900m\r\n"
	part := string(checkableBody(100000))
	for id, framing := range []string{
		"Content-Length: 200000\r\n\r\n" + part, "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + part + "\r\n",
		"Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + part + "\r\nzz\r\n",
	} {
		c := rg.dial()
		fmt.Fprintf(c, head, fmt.Sprint("cut", id))
		io.WriteString(c, framing)
		<-arrived // if the client had hung up earlier, nothing would be sent: TestUploadOfGoneClientIsNotSent
		c.CloseWrite()
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && res.StatusCode != http.StatusBadRequest {
			t.Errorf("%.40q: answered %d", framing, res.StatusCode)
		}
		if err := <-bodyErr; err == nil {
			t.Errorf("%.40q: the truncated body looks complete to the endpoint", framing)
		}
	}
	rg.awaitNothingBuffered()
}

// The remaining time of an upload counts from its last byte. A streamed response that has begun is
// not cut off at the deadline.
func TestDeadlineOfUploadCountsFromItsLastByte(t *testing.T) {
	const remaining = time.Second
	body := checkableBody(200000)
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Error(err)
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.Write(body[:1])
		w.(http.Flusher).Flush()
		time.Sleep(2 * remaining)
		w.Write(body[1:])
	}))
	c := rg.dial()
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: a\r\nX-Lane: once\r\nX-Remaining: %dm\r\nContent-Length: %d\r\n\r\n",
		remaining.Milliseconds(), len(body))
	for at := 0; at < len(body); at += 50000 {
		c.Write(body[at : at+50000])
		time.Sleep(remaining / 2)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(res.Body); err != nil || res.StatusCode != http.StatusOK || !bytes.Equal(got, body) {
		t.Errorf("got %d, %d bytes, %v", res.StatusCode, len(got), err)
	}
}

// An upload that the endpoint does not answer fails at its deadline.
func TestUnansweredUploadFailsAtItsDeadline(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) { awaitCancel(r) }))
	r := rg.request("once", 300*time.Millisecond)
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(checkableBody(300000))), 300000
	if status, _ := rg.roundTrip(r); status != http.StatusBadGateway {
		t.Errorf("got %d", status)
	}
	rg.awaitNothingBuffered()
}

// The sent part of an upload is not kept, so the request cannot be sent to another endpoint. The
// client is told with a 503 that the request was not executed.
func TestPartlySentUploadThatIsRejectedIsNotRetried(t *testing.T) {
	var complete atomic.Int64
	rejectEarly := func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadFull(r.Body, make([]byte, maxBufferedBody+100000)); err != nil {
			t.Error(err)
		}
		w.Header().Set("X-Turned-Away", "1")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		w.(http.Flusher).Flush()
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			complete.Add(1)
		}
	}
	rg := start(t, 1024, endpointServing(t, "s-1", rejectEarly), endpointServing(t, "s-2", rejectEarly))
	c := rg.dial()
	io.WriteString(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: a\r\nX-Lane: once\r\nX-Remaining: 9000m\r\nContent-Length: 1000000\r\n\r\n")
	go func() {
		for range 10 { // the client does not send the rest
			c.Write(checkableBody(20000))
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close {
		t.Errorf("answer %+v, %v", res, err)
	}
	if complete.Load() != 0 {
		t.Error("an endpoint got the complete upload")
	}
	rg.awaitNothingBuffered()
}

// An upload is sent to another endpoint if the first one cannot be reached, because none of its
// streamed part has been consumed.
func TestUnsentUploadIsRetriedAtAnotherEndpoint(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	body := checkableBody(300000)
	rg := start(t, 1024, target{UID: "s-1", Address: dead.Addr().String(), Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1},
		endpointServing(t, "s-2", func(w http.ResponseWriter, r *http.Request) {
			got, _ := io.ReadAll(r.Body)
			fmt.Fprint(w, bytes.Equal(got, body))
		}))
	for range 8 {
		r := rg.request("once", 9*time.Second)
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		if status, got := rg.roundTrip(r); status != 200 || got != "true" {
			t.Errorf("got %d %q", status, got)
		}
	}
}

// A client that waits for 100 Continue gets it, unless its head is invalid.
func TestExpectContinueIsAnsweredUnlessHeadIsInvalid(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect") != "" {
			t.Error("the header Expect was forwarded")
		}
		io.Copy(w, r.Body)
	}))
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: a\r\nX-Remaining: 900m\r\nExpect: 100-continue\r\nContent-Length: 2\r\nX-Lane: %s\r\n\r\n"
	c := rg.dial()
	fmt.Fprintf(c, head, "once")
	r := bufio.NewReader(c)
	if line, err := r.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	r.ReadString('\n')
	io.WriteString(c, "hi")
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(res.Body); string(got) != "hi" {
		t.Errorf("got %q", got)
	}
	if status, _ := rg.sendRaw(fmt.Sprintf(head, "none")); status != http.StatusBadRequest {
		t.Errorf("an invalid head is answered with status %d", status)
	}
}

// Pipelined requests are answered in order, with nothing between them lost.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, r.Header.Get("X-Txn"), " ", len(body))
	}))
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Lane: once\r\nX-Remaining: 9000m\r\nX-Txn: "
	long := string(checkableBody(100000))
	text := head + "a\r\nContent-Length: 3\r\n\r\nabc" + "\r\n" + head + "b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" +
		head + "c\r\nContent-Length: 100000\r\n\r\n" + long + head + "d\r\nContent-Length: 0\r\n\r\n"
	c := rg.dial()
	go func() {
		for i := 0; i < len(text); i += 700 { // the pieces do not end where a request ends
			io.WriteString(c, text[i:min(i+700, len(text))])
		}
	}()
	r := bufio.NewReader(c)
	for _, want := range []string{"a 3", "b 2", "c 100000", "d 0"} {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%s: %v", want, err)
		}
		if got, err := io.ReadAll(res.Body); string(got) != want || err != nil {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	}
}
