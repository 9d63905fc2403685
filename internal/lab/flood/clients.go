package flood

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dykering/internal/lab/pause"
)

const (
	// reconnectPause is the time before a client connects again after its connection has ended.
	reconnectPause = 20 * time.Millisecond
	// dialTimeout bounds the time to connect.
	dialTimeout = time.Second
)

// Clients is a flood: clients that connect to one listener again and again until they are closed.
type Clients struct {
	target    Target
	behavior  Behavior
	cancel    context.CancelFunc
	done      <-chan struct{}
	running   sync.WaitGroup
	lastID    atomic.Int64
	connected atomic.Int64 // connections so far
}

// Start starts a number of clients with a behavior at a target. The caller must close them.
func Start(ctx context.Context, target Target, behavior Behavior, count int) *Clients {
	ctx, cancel := context.WithCancel(ctx)
	c := &Clients{target: target, behavior: behavior, cancel: cancel, done: ctx.Done()}
	for range count {
		c.running.Go(func() { c.run(ctx) })
	}
	return c
}

// Close disconnects the clients and waits for their end.
func (c *Clients) Close() {
	c.cancel()
	c.running.Wait()
}

// Connections returns the number of connections that were established so far.
func (c *Clients) Connections() int64 { return c.connected.Load() }

// run connects and plays the behavior until the context is done.
func (c *Clients) run(ctx context.Context) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", c.target.Address)
		if err == nil {
			c.connected.Add(1)
			c.play(ctx, conn)
		}
		pause.For(c.done, reconnectPause)
	}
}

// play plays the behavior on a connection until it ends or the context is done.
func (c *Clients) play(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	script := c.target.script(c.behavior, int(c.lastID.Add(1)))
	if _, err := io.WriteString(conn, script.opening); err != nil || script.leaves {
		return
	}
	ended := make(chan struct{})
	if script.reads {
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn) // any error ends the connection
		}()
	}
	if sendBulk(conn, script.bulk) && c.repeat(conn, script) {
		select {
		case <-ended:
		case <-c.done:
		}
	}
}

// block is a part of the bulk of all clients.
var block = bytes.Repeat([]byte("b"), blockBytes)

// sendBulk sends a number of bytes of a body. It returns false if the connection has ended.
func sendBulk(conn net.Conn, count int) bool {
	for sent := 0; sent < count; sent += blockBytes {
		if _, err := conn.Write(block[:min(blockBytes, count-sent)]); err != nil {
			return false
		}
	}
	return true
}

// repeat sends the repeated part of a script. It returns false if the connection has ended.
func (c *Clients) repeat(conn net.Conn, script script) bool {
	for sent := 0; script.repeated != "" && (script.limit == 0 || sent < script.limit); sent += len(script.repeated) {
		if _, err := io.WriteString(conn, script.repeated); err != nil {
			return false
		}
		if script.interval > 0 && !pause.For(c.done, script.interval) {
			return false
		}
	}
	return true
}
