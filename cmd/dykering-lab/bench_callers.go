package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callers send requests concurrently, each over its own connection.
type callers struct {
	address func() string
	way     string
	lastID  atomic.Int64
}

// sendContinuously lets n callers send one request after another for a time. It returns the numbers of served and failed requests.
func (c *callers) sendContinuously(ctx context.Context, n int, lasts time.Duration) (served, refused int, err error) {
	ctx, stop := context.WithTimeout(ctx, lasts)
	defer stop()
	var all sync.WaitGroup
	var good, bad atomic.Int64
	transport := &http.Transport{MaxIdleConnsPerHost: n}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	complete := context.WithoutCancel(ctx) // a request that was sent in time may complete after the end
	for range n {
		all.Go(func() {
			for ctx.Err() == nil {
				r, err := http.NewRequestWithContext(complete, http.MethodGet, c.address()+"/bench", nil)
				if err != nil {
					bad.Add(1)
					return
				}
				r.Header = http.Header{"X-Txn": {fmt.Sprintf("%s-%d", c.way, c.lastID.Add(1))}, "X-Lane": {"read"}, "X-Remaining": {"2000m"}}
				res, err := client.Do(r)
				if err != nil {
					bad.Add(1)
					continue
				}
				if _, err = io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
					bad.Add(1)
				} else {
					good.Add(1)
				}
				res.Body.Close()
			}
		})
	}
	all.Wait()
	if good.Load() == 0 {
		return 0, 0, fmt.Errorf("none of %d requests was served", bad.Load())
	}
	return int(good.Load()), int(bad.Load()), nil
}

// openIdle opens connections one after another, and sends one request over each, so that they are idle afterwards.
func (c *callers) openIdle(ctx context.Context, n int) (conns []net.Conn, err error) {
	dialer := net.Dialer{Timeout: time.Second}
	for i := 0; i < n && ctx.Err() == nil; i++ {
		x, err := dialer.DialContext(ctx, "tcp", strings.TrimPrefix(c.address(), "http://"))
		if err != nil {
			return conns, err
		}
		conns = append(conns, x)
		if err := errors.Join(x.SetDeadline(time.Now().Add(30*time.Second)), c.write(x, fmt.Sprintf("idle-%d", i))); err != nil {
			return conns, err
		}
		if _, err := x.Read(make([]byte, 4096)); err != nil { // the answer is short enough for a single read
			return conns, err
		}
	}
	return conns, ctx.Err()
}

func (c *callers) write(x net.Conn, id string) error {
	_, err := fmt.Fprintf(x, "GET /bench HTTP/1.1\r\nHost: lab\r\nX-Txn: %s\r\nX-Lane: read\r\nX-Remaining: 2000m\r\n\r\n", id)
	return err
}
