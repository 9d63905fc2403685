// Package netem emulates a network and the processes on it within one process: connections with latency,
// bandwidth, buffers that fill, half-closes, resets and links that are cut; accept queues and connection
// tables that overflow; handshakes that cost a machine; listening sockets that several processes share; and
// processes that are killed and that pass open connections to each other.
//
// Invariants: bytes of a connection arrive in order; a handle of a killed process has no effect any more;
// what a process opens ends with it. All waiting uses the time package, so that in a testing/synctest
// bubble the network runs in virtual time. Package emulation is its caller.
package netem
