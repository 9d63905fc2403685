package sessions

import (
	"testing"

	"dykering/internal/fixture"
)

// The JSON form of a heartbeat is the one recorded in the fixture, since endpoints of every version send it.
func TestHeartbeatFormIsUnchanged(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/heartbeat.json", &Heartbeat{})
}
