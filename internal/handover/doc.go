// Package handover passes open connections from a process that stops to the one that serves in its
// place, its successor. Both run on one machine as the same user. The state that goes with a
// connection is opaque to this package; package http1 defines it.
//
// # Finding the successor
//
// A process that can receive connections listens on a Unix socket of type SOCK_SEQPACKET (unix(7)),
// which preserves message boundaries. Its file lies in a directory that both processes are given:
//
//	handover-<first 6 bytes of SHA-256 of the name, in hex>-<creation time, Unix ns>.<process id>
//
// A stopping process connects to the youngest socket of the name that is not its own. Each side
// checks by SO_PEERCRED that the other one runs as its own user.
//
// # Protocol
//
// Each message is one frame. Its first byte is its type:
//
//	frame    byte  sent by   payload                     meaning
//	offer    'o'   sender    state, up to MaxState       take these connections
//	                         bytes; up to 2 descriptors
//	                         as SCM_RIGHTS
//	accept   'y'   receiver  none                        resources are reserved
//	decline  'n'   receiver  none                        no capacity, or unknown state; the next
//	                                                     offer may follow
//	commit   'g'   sender    none                        the connections are the receiver's
//
// The sender owns the connections until it has written the commit, and the receiver from when it has
// read it. The receiver awaits the commit without a deadline, until the socket closes: so neither a
// slow process nor one that dies between two steps leaves a connection with two owners. Any other
// frame or a closed socket before the commit means that the connections stay with the sender. All
// other steps end within stepTimeout.
//
// # Bounds and callers
//
// A receiver serves up to maxPeers senders, with one goroutine each, and one offer of each at a
// time. Package http1 uses [Listen] and [Dial] through its Network interface; the laboratory's
// network has an implementation of its own in virtual time.
package handover
