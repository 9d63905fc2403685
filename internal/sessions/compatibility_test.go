package sessions

import (
	"testing"

	"dykering/internal/fixture"
)

// The heartbeats of endpoints keep their form.
func TestHeartbeatFormIsUnchanged(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/heartbeat.json", &Heartbeat{})
}
