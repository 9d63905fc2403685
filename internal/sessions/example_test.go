package sessions_test

import (
	"fmt"
	"time"

	"dykering/internal/sessions"
)

// A process applies the heartbeats that it receives, sends what has changed to its peers, and asks for all that subscribers
// have not seen by the modify index.
func Example() {
	here, peer := sessions.New(4*time.Second), sessions.New(4*time.Second)
	here.ApplyHeartbeat(0, "i-1", sessions.Heartbeat{Service: "chat", Address: "10.0.0.1:80", State: sessions.Ready, Sequence: 1})
	for _, record := range here.FlushModified(time.Second) {
		peer.Merge(time.Second, record)
	}
	seen := peer.ModifyIndex()

	here.Deregister(2*time.Second, "i-1")
	for _, record := range here.FlushModified(2 * time.Second) {
		peer.Merge(2*time.Second, record)
	}
	for _, endpoint := range peer.ModifiedSince(seen) {
		fmt.Println(endpoint.ID, endpoint.State)
	}
	// Output: i-1 gone
}
