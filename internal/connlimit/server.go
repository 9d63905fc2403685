package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// discardTimeout bounds the time in which the rest of a body arrives that is not needed.
	discardTimeout = 500 * time.Millisecond
	// memoryAttempts and memoryRetryPause bound the wait for the memory of evicted bodies.
	memoryAttempts   = 20
	memoryRetryPause = 2 * time.Millisecond
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Serve serves HTTP on the connections of the listener until the server is closed. It sets the hooks of the server.
func (l *Listener) Serve(server *http.Server) error {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serveRequest(next, w, r) })
	server.ConnState = trackState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return server.Serve(l)
}

// connOf returns the connection of a request, or nil if no Listener has accepted it.
func connOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// Budget is memory that requests acquire.
type Budget interface {
	// TryAcquire acquires bytes if they are available, and reports whether it did.
	TryAcquire(bytes int) bool
}

// AcquireForBody acquires memory for the body of the request with a context. While there is none, it closes connections of the same
// listener whose bodies arrive slowly or have taken long. It returns false if that does not help.
func AcquireForBody(ctx context.Context, budget Budget, bytes int) bool {
	conn := connOf(ctx)
	for range memoryAttempts {
		if budget.TryAcquire(bytes) {
			return true
		}
		if conn == nil || !conn.listener.evictForBody(conn) {
			return false
		}
		select {
		case <-time.After(memoryRetryPause): // the handler of the evicted request releases its memory
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// trackState is the ConnState hook. The hooks of the other states come too late or not at all: Read and serveRequest notice them.
func trackState(raw net.Conn, state http.ConnState) {
	conn, ok := raw.(*Conn)
	if !ok {
		return
	}
	l := conn.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateIdle:
		conn.serving.Store(false)
		l.setHeadWeight(conn, 0)
		l.setPhase(conn, phaseIdle, time.Now())
	case http.StateClosed, http.StateHijacked:
		l.remove(conn)
	}
}

// serveRequest serves a request whose head has been received.
func (l *Listener) serveRequest(next http.Handler, w http.ResponseWriter, r *http.Request) {
	conn := connOf(r.Context())
	if conn == nil {
		next.ServeHTTP(w, r)
		return
	}
	hasBody := r.Body != nil && r.Body != http.NoBody
	isAdmitted := conn.beginRequest(headerWeight(r), hasBody)
	if hasBody {
		conn.Conn.SetReadDeadline(time.Now().Add(l.limits.BodyTimeout))
		copied := *r // net/http looks at the body of its own request
		copied.Body = &trackedBody{ReadCloser: r.Body, conn: conn}
		r = &copied
	}
	if !isAdmitted {
		l.refuse(w, r, hasBody)
		return
	}
	next.ServeHTTP(w, r)
	if hasBody {
		conn.limitDiscard()
	}
}

// refuse answers a request without a body, or closes the connection: the rest of a body would have to be read before the answer.
func (l *Listener) refuse(w http.ResponseWriter, r *http.Request, hasBody bool) {
	if hasBody {
		panic(http.ErrAbortHandler) // how net/http lets a handler close the connection
	}
	w.Header().Set("Connection", "close")
	l.limits.Refuse(w, r)
}

// limitDiscard bounds the time in which net/http discards the rest of a body that the handler has not read.
func (c *Conn) limitDiscard() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == phaseBody {
		c.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
	}
}

// beginRequest records that a head with a weight was received. It returns false if there is no room for it.
func (c *Conn) beginRequest(weight int, hasBody bool) bool {
	c.writeLimit.Store(0)
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	now, phase := time.Now(), phaseServing
	if hasBody {
		phase = phaseBody
	}
	l.setPhase(c, phase, now)
	c.serving.Store(!hasBody)
	if l.admitHead(c, weight, now) {
		return true
	}
	l.setHeadWeight(c, 0)
	return false
}

// bodyReceived records that the body of the request has been received, or cannot be.
func (c *Conn) bodyReceived() {
	c.Conn.SetReadDeadline(time.Time{})
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == phaseBody {
		l.setPhase(c, phaseServing, time.Now())
		c.serving.Store(true)
	}
}

// trackedBody is a body of a request that notices its end.
type trackedBody struct {
	io.ReadCloser
	conn     *Conn
	complete bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) && !b.complete {
		b.complete = true
		b.conn.bodyReceived()
	}
	return n, err
}
