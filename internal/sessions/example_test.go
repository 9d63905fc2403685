package sessions_test

import (
	"fmt"
	"time"

	"dykering/internal/sessions"
)

// A control process applies a heartbeat and sends the modified record to a peer. The peer uses the modify index to find the
// sessions that its subscribers have not received yet.
func Example() {
	local, peer := sessions.New(4*time.Second), sessions.New(4*time.Second)
	local.ApplyHeartbeat(0, "i-1", sessions.Heartbeat{Service: "chat", Address: "10.0.0.1:80", State: sessions.Ready, Sequence: 1})
	for _, record := range local.FlushModified(time.Second) {
		peer.Merge(time.Second, record)
	}
	sentIndex := peer.ModifyIndex()

	local.Deregister(2*time.Second, "i-1")
	for _, record := range local.FlushModified(2 * time.Second) {
		peer.Merge(2*time.Second, record)
	}
	for _, endpoint := range peer.ModifiedSince(sentIndex) {
		fmt.Println(endpoint.ID, endpoint.State)
	}
	// Output: i-1 gone
}
