package controlplane

import (
	"time"

	"dykering/internal/orders"
	"dykering/internal/sessions"
)

// overlayLifetimeHeartbeats is how many heartbeat intervals an overlay is kept after its order. By then the endpoint's
// own heartbeats report the same change.
const overlayLifetimeHeartbeats = 2

// publishedOverlay is an overlay in the table of sessions that this lease holder or its predecessor has published.
// Proxies learn from it what an order has changed, before the endpoint's next heartbeat.
type publishedOverlay struct {
	overrides []sessions.ModelOverride
	setAt     time.Duration
}

// addOverride publishes the change that an order has made at an endpoint. It replaces an earlier override of the same
// model and adapter.
func (c *placementController) addOverride(now time.Duration, id string, override sessions.ModelOverride) {
	overrides := []sessions.ModelOverride{override}
	for _, other := range c.overlays[id].overrides {
		if other.Model != override.Model || other.Adapter != override.Adapter {
			overrides = append(overrides, other)
		}
	}
	c.setOverrides(now, id, overrides)
}

// setOverrides publishes an overlay. Its version consists of the fencing token and a counter, so that the overlays of a
// later lease holder replace those of an earlier one.
func (c *placementController) setOverrides(now time.Duration, id string, overrides []sessions.ModelOverride) {
	c.overlayCounter++
	version := c.holder.Lease().Token<<32 | c.overlayCounter
	c.overlays[id] = publishedOverlay{overrides: overrides, setAt: now}
	c.server.sessions.Table().SetOverlay(id, sessions.Overlay{Version: version, Holdings: overrides})
}

// clearOverrides publishes an empty overlay, so that only the endpoint's heartbeats count.
func (c *placementController) clearOverrides(now time.Duration, id string) {
	c.setOverrides(now, id, nil)
}

// expireOverlays clears the overlays that the endpoints' heartbeats have caught up with. It adopts overlays that a
// predecessor has left, so that they are cleared as well.
func (c *placementController) expireOverlays(now time.Duration) {
	lifetime := overlayLifetimeHeartbeats*c.server.settings.HeartbeatInterval() + orders.MaxReportAge
	for id, overlay := range c.overlays {
		if now-overlay.setAt > lifetime && !c.holder.Orders().HasOrder(id) {
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
