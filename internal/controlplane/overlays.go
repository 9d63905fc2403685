package controlplane

import (
	"time"

	"dykering/internal/sessions"
)

// overlay tells all sidecars what an order has made of an endpoint.
func (c *placementController) addOverride(now time.Duration, id string, holding sessions.ModelOverride) {
	known := c.overlays[id]
	holdings := []sessions.ModelOverride{holding}
	for _, h := range known.overrides {
		if h.Model != holding.Model || h.Adapter != holding.Adapter {
			holdings = append(holdings, h)
		}
	}
	c.setOverrides(now, id, holdings)
}

func (c *placementController) setOverrides(now time.Duration, id string, holdings []sessions.ModelOverride) {
	c.overlayCounter++
	version := c.fencingToken<<32 | c.overlayCounter
	c.overlays[id] = publishedOverlay{overrides: holdings, setAt: now}
	c.server.table.SetOverlay(id, sessions.Overlay{Version: version, Holdings: holdings})
}

func (c *placementController) clearOverrides(now time.Duration, id string) {
	c.setOverrides(now, id, nil)
}

// retireOverlays ends overlays that the endpoints' own heartbeats have caught up with, also those of a predecessor.
func (c *placementController) expireOverlays(now time.Duration) {
	keep := overlayHeartbeats*c.server.settings.HeartbeatInterval() + maxReportAge
	for id, o := range c.overlays {
		if now-o.setAt > keep && c.inFlight[id] == nil {
			if len(o.overrides) > 0 {
				c.clearOverrides(now, id)
			}
			delete(c.overlays, id)
		}
	}
	for _, e := range c.server.table.Endpoints() {
		if _, own := c.overlays[e.ID]; !own && len(e.Overlay.Holdings) > 0 {
			c.overlays[e.ID] = publishedOverlay{overrides: e.Overlay.Holdings, setAt: now}
		}
	}
	for id := range c.endpointStates {
		if _, ok := c.server.table.Get(id); !ok {
			delete(c.endpointStates, id)
		}
	}
}
