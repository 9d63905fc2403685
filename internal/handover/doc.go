// Package handover passes open connections from a stopping process to its successor, the process that
// serves in its place. Both run on one machine as the same user. The state that accompanies the
// connections is opaque to this package. Package http1 defines it.
//
// # Finding the successor
//
// A process that can receive connections listens on a Unix socket of type SOCK_SEQPACKET (unix(7)),
// which preserves message boundaries. Its file is in a directory that is configured for both processes:
//
//	handover-<first 6 bytes of SHA-256 of the name, in hex>-<creation time, Unix ns>.<process id>
//
// A stopping process connects to the most recently created socket of its name, except for its own.
// Each side checks with SO_PEERCRED that the other one runs as the same user.
//
// # Protocol
//
// Each message is one frame. The first byte of a frame is its type:
//
//	frame    byte  sent by   payload                     meaning
//	offer    'o'   sender    state, up to MaxState       offers the connections
//	                         bytes; up to 2 descriptors
//	                         as SCM_RIGHTS
//	accept   'y'   receiver  none                        the receiver has reserved resources
//	decline  'n'   receiver  none                        no capacity, or unknown state; the sender
//	                                                     may make further offers
//	commit   'g'   sender    none                        the receiver owns the connections
//
// The sender owns the connections until it has written the commit. The receiver owns them once it has
// read the commit. The receiver waits for the commit without a deadline, until the socket closes.
// Therefore neither a slow process nor one that dies between two steps leaves a connection with two
// owners. If another frame arrives or the socket closes before the commit, the connections stay with
// the sender. All other steps end within stepTimeout.
//
// # Bounds and callers
//
// A receiver serves up to maxPeers senders, with one goroutine each, and handles one offer of each
// sender at a time. Package http1 uses [Listen] and [Dial] through its Network interface. The
// simulated network of the lab has its own implementation in virtual time.
package handover
