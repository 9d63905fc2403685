package flood

import (
	"fmt"
	"strings"
	"time"

	"dykering/internal/lab/localsystem"
)

// Behavior is what the clients of a flood do.
type Behavior string

// The behaviors.
const (
	// Silent clients connect and send nothing.
	Silent Behavior = "silent"
	// EndlessLine clients send a header line without an end.
	EndlessLine Behavior = "endless-line"
	// ShortLines clients send short header lines without an end: their parsed form weighs far more than their bytes.
	ShortLines Behavior = "short-lines"
	// EmptyLines clients send empty lines before a request, without an end.
	EmptyLines Behavior = "empty-lines"
	// SlowHead clients send a byte of a head at a time.
	SlowHead Behavior = "slow-head"
	// HeldHead clients send a complete head of many lines, and a body that never ends.
	HeldHead Behavior = "held-head"
	// HeldBody clients send all but the last byte of a body.
	HeldBody Behavior = "held-body"
	// SlowBody clients send a byte of a body at a time, after most of it.
	SlowBody Behavior = "slow-body"
	// ChunkLine clients send a chunk line without an end.
	ChunkLine Behavior = "chunk-line"
	// TinyChunks clients send chunks of one byte.
	TinyChunks Behavior = "tiny-chunks"
	// Trailer clients send trailer lines without an end.
	Trailer Behavior = "trailer"
	// NeverReads clients send complete requests on and on, and read no answer.
	NeverReads Behavior = "never-reads"
	// Reconnects clients send a part of a head and connect again at once.
	Reconnects Behavior = "reconnects"
)

// HTTPBehaviors returns the behaviors of the clients of HTTP listeners.
func HTTPBehaviors() []Behavior {
	return []Behavior{
		Silent, EndlessLine, ShortLines, EmptyLines, SlowHead, HeldHead, HeldBody, SlowBody, ChunkLine, TinyChunks, Trailer,
		NeverReads, Reconnects,
	}
}

// CheckBehaviors returns the behaviors of the clients of listeners for checks and operators, whose calls have no bodies.
func CheckBehaviors() []Behavior {
	return []Behavior{Silent, EndlessLine, ShortLines, EmptyLines, HeldBody, NeverReads, Reconnects}
}

// PeerBehaviors returns the behaviors of the clients of the listener for messages between processes.
func PeerBehaviors() []Behavior {
	return []Behavior{Silent, SlowHead, HeldBody, EndlessLine, Reconnects}
}

const (
	// endlessBytes is how much a client sends of what has no end. Then it keeps the connection open.
	endlessBytes = 4 << 20
	// heldHeadLines is the number of header lines of a HeldHead client. The head stays below 16 KiB.
	heldHeadLines = 2000
	// trickleInterval is the pause between two parts of the input of a slow client.
	trickleInterval = 50 * time.Millisecond
	// blockBytes is the size of the parts of what has no end.
	blockBytes = 16 << 10
)

// script is what one client sends on one connection.
type script struct {
	opening string
	// bulk is the number of bytes of a body that follow the opening.
	bulk int
	// repeated is sent again and again, up to limit bytes, or without a limit if it is 0.
	repeated string
	limit    int
	interval time.Duration // pause after each part
	// reads is true if the client reads what is sent to it.
	reads bool
	// leaves is true if the client closes the connection after the opening.
	leaves bool
}

// httpRequest is the beginning of the requests of a flood at an HTTP listener.
type httpRequest struct {
	method, path string
	header       string // lines with their ends
	bodyBytes    int    // length of the largest body that the listener takes
}

// head returns the head of a request without the empty line at its end.
func (r *httpRequest) head(method string, id int) string {
	return fmt.Sprintf("%s %s%x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: f%015x\r\n%s", method, r.path, id, localsystem.RouteHost, id, r.header)
}

// script returns what a client with a behavior sends.
func (r *httpRequest) script(behavior Behavior, id int) script {
	head := r.head(r.method, id)
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, r.bodyBytes)
	switch behavior {
	case Silent:
		return script{reads: true}
	case EndlessLine:
		return script{opening: head + "X-A: ", repeated: strings.Repeat("a", blockBytes), limit: endlessBytes, reads: true}
	case ShortLines:
		return script{opening: head, repeated: shortLines(blockBytes / shortLineBytes), limit: endlessBytes, reads: true}
	case EmptyLines:
		return script{repeated: strings.Repeat("\r\n", blockBytes/2), limit: endlessBytes, reads: true}
	case SlowHead:
		return script{opening: head, repeated: "X-A: a\r\n", limit: blockBytes, interval: trickleInterval, reads: true}
	case HeldHead:
		return script{opening: head + shortLines(heldHeadLines) + "Content-Length: 10\r\n\r\nbody", reads: true}
	case HeldBody:
		return script{opening: framed, bulk: r.bodyBytes - 1, reads: true}
	case SlowBody:
		return script{
			opening: framed, bulk: r.bodyBytes * 3 / 4, repeated: "b", limit: r.bodyBytes / 8, interval: trickleInterval, reads: true,
		}
	case ChunkLine:
		return script{opening: chunked + "1;", repeated: strings.Repeat("a", blockBytes), limit: endlessBytes, reads: true}
	case TinyChunks:
		return script{opening: chunked, repeated: strings.Repeat("1\r\nb\r\n", blockBytes/6), limit: r.bodyBytes, reads: true}
	case Trailer:
		return script{opening: chunked + "0\r\n", repeated: shortLines(blockBytes / shortLineBytes), limit: endlessBytes, reads: true}
	case NeverReads:
		return script{repeated: r.head("GET", id) + "\r\n"}
	case Reconnects:
		return script{opening: head + shortLines(heldHeadLines), leaves: true}
	}
	return script{}
}

// shortLineBytes is the length of a line of shortLines.
const shortLineBytes = 7

// shortLines returns header lines with names of their own.
func shortLines(count int) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, "%04x:\r\n", i%0x10000)
	}
	return lines.String()
}

// peerScript returns what a client of the listener for messages between processes sends. A frame begins with its length.
func peerScript(behavior Behavior) script {
	const longFrame, emptyFrame = "\x01\x00\x00\x00", "\x00\x00\x00\x00"
	switch behavior {
	case Silent:
		return script{reads: true}
	case SlowHead:
		return script{opening: longFrame[:2], reads: true}
	case HeldBody: // the frame holds one gob message of 2 MiB, whose last byte is missing
		const messageBytes = 2 << 20
		return script{
			opening: longFrame + "\xfd\x20\x00\x00", reads: true, // gob writes lengths above 127 with the count of their bytes before them
			repeated: strings.Repeat("b", blockBytes), limit: messageBytes - blockBytes,
		}
	case EndlessLine:
		return script{repeated: strings.Repeat(emptyFrame, blockBytes/len(emptyFrame)), limit: endlessBytes, reads: true}
	case Reconnects:
		return script{opening: longFrame, leaves: true}
	}
	return script{}
}
