// Package loopback assigns unused addresses on loopback to tests and to the laboratory's processes.
//
// The usual way, to bind a free port and close it again, has two faults. Another process may take the port
// before it is bound again, and late calls to an address of an earlier test may reach a later test. An
// address of this package is unique among live processes, since its host part is derived from the process
// id, and a process reuses an address only after all others.
package loopback
