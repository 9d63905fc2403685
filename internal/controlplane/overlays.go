package controlplane

import (
	"time"

	"dykering/internal/orders"
	"dykering/internal/sessions"
)

// overlayLifetimeHeartbeats is how many heartbeat intervals an overlay outlives its order: by then the endpoint's own heartbeats
// say the same.
const overlayLifetimeHeartbeats = 2

// publishedOverlay is an overlay that is in the table of sessions, of this lease holder or of its predecessor. Proxies
// learn by it what an order has changed, ahead of the endpoint's next heartbeat.
type publishedOverlay struct {
	overrides []sessions.ModelOverride
	setAt     time.Duration
}

// addOverride publishes what an order has changed at an endpoint, in place of what was published of the same model.
func (c *placementController) addOverride(now time.Duration, id string, override sessions.ModelOverride) {
	overrides := []sessions.ModelOverride{override}
	for _, other := range c.overlays[id].overrides {
		if other.Model != override.Model || other.Adapter != override.Adapter {
			overrides = append(overrides, other)
		}
	}
	c.setOverrides(now, id, overrides)
}

// setOverrides publishes an overlay. Its version is the fencing token and a counter, so that the overlay of a later lease
// holder replaces all of an earlier one.
func (c *placementController) setOverrides(now time.Duration, id string, overrides []sessions.ModelOverride) {
	c.overlayCounter++
	version := c.holder.Lease().Token<<32 | c.overlayCounter
	c.overlays[id] = publishedOverlay{overrides: overrides, setAt: now}
	c.server.sessions.Table().SetOverlay(id, sessions.Overlay{Version: version, Holdings: overrides})
}

// clearOverrides has an endpoint's heartbeats alone count again.
func (c *placementController) clearOverrides(now time.Duration, id string) {
	c.setOverrides(now, id, nil)
}

// expireOverlays clears the overlays that the endpoints' heartbeats have caught up with. Those that a predecessor has left
// are adopted, so that they are cleared too.
func (c *placementController) expireOverlays(now time.Duration) {
	lifetime := overlayLifetimeHeartbeats*c.server.settings.HeartbeatInterval() + orders.MaxReportAge
	for id, overlay := range c.overlays {
		if now-overlay.setAt > lifetime && !c.holder.Orders().IsOrdered(id) {
			if len(overlay.overrides) > 0 {
				c.clearOverrides(now, id)
			}
			delete(c.overlays, id)
		}
	}
	for _, session := range c.server.sessions.Table().Endpoints() {
		if _, own := c.overlays[session.ID]; !own && len(session.Overlay.Holdings) > 0 {
			c.overlays[session.ID] = publishedOverlay{overrides: session.Overlay.Holdings, setAt: now}
		}
	}
}
