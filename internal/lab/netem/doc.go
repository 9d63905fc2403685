// Package netem emulates a network and the processes on it within one process.
//
// Connections have latency, bandwidth, limited buffers, half-closes, resets and partitions. Accept queues
// and connection tables overflow, handshakes take time of a machine's cores, and several processes can
// share a listening socket. Processes can be killed, and can pass open connections to each other.
//
// Invariants: the bytes of a connection arrive in order. A handle of a killed process has no effect any
// more. All sockets and connections of a process are closed when it ends. All waiting uses the time
// package, so that the network runs in virtual time within a testing/synctest bubble. Package emulation
// plays scenarios on this network.
package netem
