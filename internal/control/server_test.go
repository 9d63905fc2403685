package control

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testTimeout bounds each wait of a test, so that a failure does not hang.
const testTimeout = 20 * time.Second

// fakeSidecar is a Sidecar that counts the drains and resumes.
type fakeSidecar struct {
	canServe        atomic.Bool
	drains, resumes atomic.Int32
}

func (s *fakeSidecar) CanServe() bool { return s.canServe.Load() }
func (s *fakeSidecar) Drain()         { s.drains.Add(1) }
func (s *fakeSidecar) Resume()        { s.resumes.Add(1) }

// start starts a server without a fleet on loopback. It returns the sidecar and the address.
func start(t *testing.T) (*fakeSidecar, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeSidecar{}
	server := New(l, s, nil)
	ended := make(chan error, 1)
	go func() { ended <- server.Run() }()
	t.Cleanup(func() {
		server.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

// dial connects to an address. The connection has a deadline of testTimeout.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// call sends the text of a request and returns the status of the answer. It checks that the server then closes the
// connection.
func call(t *testing.T, address, text string) int {
	t.Helper()
	c := dial(t, address)
	io.WriteString(c, text)
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	io.Copy(io.Discard, res.Body)
	if _, err := r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%.60q: the connection is still open after the answer: %v", text, err)
	}
	return res.StatusCode
}

// Each request is answered according to its path and method, and drains and resumes reach the sidecar.
func TestRequestIsAnsweredByItsPathAndMethod(t *testing.T) {
	s, address := start(t)
	for _, c := range []struct {
		request string
		want    int
	}{
		{"GET /-/ready", 503},
		{"POST /-/drain", 200},
		{"POST /-/drain", 200},
		{"POST /-/resume", 200},
		{"POST /-/ready", 405},
		{"GET /-/drain", 405},
		{"DELETE /-/resume", 405},
		{"GET /", 404},
		{"GET /ready", 404},
		{"POST /-/drain/", 404},
		{"POST //-/drain", 404},
		{"POST /api", 404},
	} {
		if got := call(t, address, c.request+" HTTP/1.1\r\nHost: h\r\n\r\n"); got != c.want {
			t.Errorf("%s: got %d, want %d", c.request, got, c.want)
		}
	}
	s.canServe.Store(true)
	if got := call(t, address, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"); got != 200 {
		t.Errorf("the sidecar can serve, but /-/ready is answered with %d", got)
	}
	if s.drains.Load() != 2 || s.resumes.Load() != 1 {
		t.Errorf("%d drains and %d resumes, want 2 and 1", s.drains.Load(), s.resumes.Load())
	}
}

// A request that is malformed, too long or incomplete is answered with a client error and has no effect.
func TestMalformedRequestIsRejectedWithoutEffect(t *testing.T) {
	s, address := start(t)
	head := "POST /-/drain HTTP/1.1\r\nHost: h\r\n"
	for name, text := range map[string]string{
		"no request":   "\x00\x01\x02\r\n\r\n",
		"no colon":     head + "nonsense\r\n\r\n",
		"no host":      "POST /-/drain HTTP/1.1\r\n\r\n",
		"long head":    head + "X-Pad: " + strings.Repeat("x", 4*maxHeaderBytes) + "\r\n\r\n",
		"long body":    head + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes+1) + strings.Repeat("x", maxBodyBytes+1),
		"broken chunk": head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		if got := call(t, address, text); got < 400 || got > 499 {
			t.Errorf("%s: got %d", name, got)
		}
	}
	c := dial(t, address).(*net.TCPConn)
	io.WriteString(c, head+"Content-Length: 9\r\n\r\nhalf")
	c.CloseWrite()
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && res.StatusCode < 400 {
		t.Errorf("incomplete request: got %d", res.StatusCode)
	}
	if s.drains.Load() != 0 {
		t.Errorf("%d drains, want none", s.drains.Load())
	}
}

// A request is answered even if many clients are connected that send nothing or an incomplete request. The server closes the
// connections of such clients to stay within MaxConnections.
func TestSilentClientsDoNotBlockRequests(t *testing.T) {
	s, address := start(t)
	s.canServe.Store(true)
	var silent []net.Conn
	for i := range 5 * MaxConnections {
		c := dial(t, address)
		if i%2 == 0 {
			io.WriteString(c, "POST /-/drain HT")
		}
		silent = append(silent, c)
		if i%MaxConnections == 0 {
			if got := call(t, address, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"); got != 200 {
				t.Errorf("after %d silent clients: got %d", i+1, got)
			}
		}
	}
	for i, c := range silent {
		if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("silent client %d is still connected", i)
		}
	}
	if s.drains.Load() != 0 {
		t.Error("an incomplete request started a drain")
	}
}
