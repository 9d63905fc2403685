// Package loopback hands out addresses on loopback that nothing else uses: neither another process that
// asks for any free port at that moment, nor a later test of the same process. A port that was found free
// and closed again may be in use by the time it is bound, and late calls to an address of an earlier test
// may reach a later one.
//
// Tests and the laboratory's processes on real sockets use it. An address is unique among live processes,
// since it contains the process id.
package loopback
