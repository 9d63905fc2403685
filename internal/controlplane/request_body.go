package controlplane

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"

	"dykering/internal/connlimit"
	"dykering/internal/core"
	"dykering/internal/errkind"
)

// bodyMemory is the memory that the body of one call holds until its handler returns.
type bodyMemory struct {
	budget   *core.Budget
	acquired int
}

// bodyMemoryKey is the key of a call's *bodyMemory in its context.
type bodyMemoryKey struct{}

// withBodyMemory returns a handler whose calls acquire the memory for their bodies from a budget.
func withBodyMemory(next http.Handler, budget *core.Budget) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		memory := &bodyMemory{budget: budget}
		defer func() { budget.Release(memory.acquired) }()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), bodyMemoryKey{}, memory)))
	})
}

// acquire acquires bytes for the body of a call. It returns false if there are none. Without a bodyMemory there is no limit.
func (m *bodyMemory) acquire(ctx context.Context, bytes int) bool {
	if m == nil {
		return true
	}
	if !connlimit.AcquireForBody(ctx, m.budget, bytes) {
		return false
	}
	m.acquired += bytes
	return true
}

// readBody reads a request body of at most maxBytes. The error is of kind errkind.Malformed if the body is incomplete, of kind
// errkind.TooLarge if it is too long, and of kind errkind.Overloaded if it does not arrive in time or there is no memory for it.
func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, errkind.New(errkind.TooLarge, "")
	}
	memory, _ := r.Context().Value(bodyMemoryKey{}).(*bodyMemory)
	var body []byte
	for {
		if len(body) == cap(body) {
			growth := max(bodyBufferBytes, len(body))
			if len(body) > 0 && !memory.acquire(r.Context(), growth) { // the memory of a connection includes the first buffer
				return nil, errkind.New(errkind.Overloaded, "no memory for the body")
			}
			body = append(make([]byte, 0, len(body)+growth), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBytes:
			return nil, errkind.New(errkind.TooLarge, "")
		case errors.Is(err, io.EOF):
			return body, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, errkind.New(errkind.Overloaded, "the body did not arrive in time")
		case err != nil:
			return nil, errkind.New(errkind.Malformed, "the body was cut short")
		}
	}
}
