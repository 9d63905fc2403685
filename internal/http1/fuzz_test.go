package http1

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dykering/internal/decision"
)

// FuzzHead: a head that is accepted has one body length at most, and its forwarded form has the
// same meaning to the next parser.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"GET /a?b=%2F HTTP/1.1\r\nHost: h\r\nX-Txn: 1\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "POST / HTTP/1.0\r\nContent-Length: 0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: X-A\r\nX-A: 1\r\n\r\n0\r\n\r\n",
		"\r\nGET / HTTP/1.1\nHost: h\n\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := readRequest(bufio.NewReaderSize(bytes.NewReader(text), maxHead))
		if err != nil {
			return
		}
		if len(r.TransferEncoding) > 0 && r.ContentLength >= 0 {
			t.Fatalf("%q has two lengths", text)
		}
		removeHopByHop(r.Header)
		in := forwardedRequest{method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, body: make([]byte, max(r.ContentLength, 0)%99)}
		on := in.encodeHead(time.Second)
		next, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(on), bytes.NewReader(in.body))))
		if err != nil {
			if strings.HasPrefix(r.RequestURI, "/") && r.Host != "" {
				t.Fatalf("%q goes on as %q, which is no request: %v", text, on, err)
			}
			return
		}
		if next.Method != r.Method || next.RequestURI != r.RequestURI || next.Host != r.Host ||
			next.ContentLength != int64(len(in.body)) || len(next.TransferEncoding) > 0 {
			t.Errorf("%q goes on as %q", text, on)
		}
	})
}

// FuzzAnswer: whatever an endpoint sends, its response ends, is bounded, and what is relayed of it
// is as net/http reads it.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\n\r\nto its end",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!", "HTTP/1.1 204 None\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	room := ampleMemory()
	f.Fuzz(func(t *testing.T, text []byte) {
		free := room.Bodies.Available()
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			far.Write(text)
			far.Close()
		}()
		a := newTestAttempt(forwardedRequest{method: http.MethodGet, target: "/"}, "", true, time.Minute, time.Minute)
		defer a.Close()
		res, err := a.readResponse(newUpstreamConn(near, a.Endpoint), room)
		if res.response != nil && res.response.rest == nil && err == nil && res.status == decision.OK {
			want, fault := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
			if fault == nil && want.StatusCode == http.StatusOK {
				body, fault := io.ReadAll(want.Body)
				if fault != nil || !bytes.Equal(body, res.response.body) {
					t.Errorf("%q: served %q, net/http reads %q, %v", text, res.response.body, body, fault)
				}
			}
		}
		if res.response != nil {
			if int64(len(res.response.body)) > a.maxBody {
				t.Errorf("%d bytes", len(res.response.body))
			}
			res.response.Discard()
		}
		if left := room.Bodies.Available(); left != free {
			t.Errorf("%q: %d bytes are not given back", text, free-left)
		}
	})
}

// FuzzPassage: a transfer state that is accepted is valid, and has the same meaning when it is
// transferred once more.
func FuzzPassage(f *testing.F) {
	for _, p := range []connTransfer{
		{Version: 1, Input: []byte("GET")},
		{Version: 1, Relay: &relayState{Finished: true, Pending: []byte("x")}},
		{Version: 1, Upload: &uploadState{ID: "a", AnswerTimeout: 5, Length: 9, Remaining: 3}},
		{Version: 1, Relay: &relayState{Length: -1, Chunks: &chunkedReader{Left: 4, Digest: 9}}},
	} {
		text, _ := json.Marshal(p)
		f.Add(text)
	}
	near, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	c, err := net.Dial("tcp", near.Addr().String())
	if err != nil {
		f.Fatal(err)
	}
	near.Close()
	f.Cleanup(func() { c.Close() })
	f.Fuzz(func(t *testing.T, text []byte) {
		var p connTransfer
		if json.Unmarshal(text, &p) != nil {
			return
		}
		for n := range 3 {
			conns := []net.Conn{c, c}[:min(n, 2)]
			if !p.validFor(conns) {
				continue
			}
			if p.Relay != nil && (p.Relay.Length >= 0 && p.Relay.Read > p.Relay.Length || p.Relay.ReadLimit < 0) ||
				p.Upload != nil && (p.Upload.Remaining > p.Upload.Length && p.Upload.Chunks == nil || p.Upload.Received > maxStreamedBody) {
				t.Fatalf("%q is taken, and cannot be gone on with", text)
			}
			again, err := json.Marshal(p)
			if err != nil {
				t.Fatal(err)
			}
			var q connTransfer
			if err := json.Unmarshal(again, &q); err != nil || !q.validFor(conns) {
				t.Errorf("%q is taken once and not again: %q, %v", text, again, err)
			}
		}
	})
}
