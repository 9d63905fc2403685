package requestsoak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dykering/internal/lab/controlclient"
	"dykering/internal/lab/loopback"
	"dykering/internal/lab/pause"
	"dykering/internal/sessions"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	// endpointSlots is the number of requests that an endpoint runs at a time, and endpointQueue that of those that wait.
	endpointSlots = 3
	endpointQueue = 3
	// endpointConnections is the number of connections above which an endpoint resets new ones.
	endpointConnections = 90
	// maxEndpointIdle and minEndpointIdle bound how long an endpoint keeps an idle connection.
	minEndpointIdle = 400 * time.Millisecond
	maxEndpointIdle = 4 * time.Second
	// smallReceiveBuffer is the receive buffer of some endpoints, in bytes.
	smallReceiveBuffer = 8 << 10
)

// endpoint is one incarnation of a fake endpoint.
type endpoint struct {
	id, service, address string
	recorder             *recorder
	control              *controlclient.Client
	dice                 *dice
	listener             net.Listener
	slots                chan struct{} // holds a value for each request that runs
	queued               atomic.Int32
	running              atomic.Int32
	runCount             atomic.Int64
	ended                chan struct{} // closed when the endpoint is gone
	workers              sync.WaitGroup

	mu         sync.Mutex
	conns      map[*net.TCPConn]bool // true for those that the endpoint has reset
	state      sessions.State
	heartbeats uint64
}

// startEndpoint starts an endpoint at an address. An empty address stands for any.
func startEndpoint(id, service, address string, r *recorder, control *controlclient.Client, d *dice) (*endpoint, error) {
	listener, err := listenAt(address)
	if err != nil {
		return nil, err
	}
	if d.happens(smallBufferProbability) {
		if err := loopback.LimitReceiveBuffer(listener, smallReceiveBuffer); err != nil {
			listener.Close()
			return nil, err
		}
	}
	e := &endpoint{
		id: id, service: service, address: listener.Addr().String(), recorder: r, control: control, dice: d, listener: listener,
		slots: make(chan struct{}, endpointSlots), ended: make(chan struct{}), conns: map[*net.TCPConn]bool{}, state: sessions.Ready,
	}
	e.workers.Go(e.accept)
	e.workers.Go(e.keepSession)
	return e, nil
}

// listenAt listens at an address, or at any loopback address if it is empty.
func listenAt(address string) (*net.TCPListener, error) {
	if address == "" {
		return loopback.Listen()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// accept serves connections until the endpoint is gone.
func (e *endpoint) accept() {
	for {
		accepted, err := e.listener.Accept()
		if err != nil {
			return
		}
		conn := accepted.(*net.TCPConn)
		if !e.register(conn) {
			conn.SetLinger(0)
			conn.Close()
			continue
		}
		e.workers.Go(func() {
			newEndpointConn(e, conn).serve()
			e.forget(conn)
		})
	}
}

// register adds a connection, unless the endpoint has too many.
func (e *endpoint) register(conn *net.TCPConn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.conns) >= endpointConnections {
		return false
	}
	e.conns[conn] = false
	return true
}

func (e *endpoint) forget(conn *net.TCPConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, conn)
}

// crash ends the endpoint without notice and resets its connections. It waits until nothing runs any more.
func (e *endpoint) crash() {
	close(e.ended)
	e.listener.Close()
	e.resetConnections(1)
	e.workers.Wait()
}

// resetConnections resets a fraction of the connections.
func (e *endpoint) resetConnections(fraction float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		if e.dice.happens(fraction) {
			e.resetLocked(conn)
		}
	}
}

// reset resets a connection.
func (e *endpoint) reset(conn *net.TCPConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetLocked(conn)
}

// resetLocked resets a connection. The caller must hold e.mu.
func (e *endpoint) resetLocked(conn *net.TCPConn) {
	e.conns[conn] = true
	conn.SetLinger(0)
	conn.Close()
}

// hasReset reports whether the endpoint has reset a connection, or is gone.
func (e *endpoint) hasReset(conn *net.TCPConn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
		return true
	default:
		return e.conns[conn]
	}
}

// leave announces that the endpoint drains, serves for a while after the acknowledgement, deregisters and ends. It ends at once when
// done is closed.
func (e *endpoint) leave(done <-chan struct{}, drainTimeout time.Duration) {
	e.mu.Lock()
	e.state = sessions.Draining
	e.mu.Unlock()
	for !e.sendHeartbeat() && pause.For(done, heartbeatInterval) {
		continue
	}
	pause.For(done, drainTimeout+e.dice.duration(0, drainTimeout))
	e.control.Post("/instances/"+e.id+"/deregister", map[string]string{}, nil)
	e.crash()
}

// isDraining reports whether the endpoint has announced that it drains.
func (e *endpoint) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == sessions.Draining
}

// keepSession sends heartbeats until the endpoint is gone.
func (e *endpoint) keepSession() {
	e.sendHeartbeat()
	for pause.For(e.ended, heartbeatInterval) {
		e.sendHeartbeat()
	}
}

// sendHeartbeat sends a heartbeat and returns true if it was acknowledged.
func (e *endpoint) sendHeartbeat() bool {
	e.mu.Lock()
	e.heartbeats++
	beat := sessions.Heartbeat{
		Service: e.service, Address: e.address, Zone: "zone-0", Version: "v1", Slots: endpointSlots, State: e.state, Stage: "both",
		Models: []sessions.LoadedModel{}, Sequence: e.heartbeats,
	}
	e.mu.Unlock()
	return e.control.Post("/instances/"+e.id+"/heartbeat", beat, nil) == http.StatusOK
}

// load returns the load that the endpoint reports in its responses.
func (e *endpoint) load() string {
	return fmt.Sprintf("%d,%d,%d", e.running.Load(), e.queued.Load(), endpointSlots)
}
