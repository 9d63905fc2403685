package controlplane

import (
	"time"

	"dykering/internal/sessions"
)

// overlay tells all sidecars what an order has made of an endpoint.
func (pl *placer) overlay(now time.Duration, id string, holding sessions.ModelOverride) {
	known := pl.overlays[id]
	holdings := []sessions.ModelOverride{holding}
	for _, h := range known.holdings {
		if h.Model != holding.Model || h.Adapter != holding.Adapter {
			holdings = append(holdings, h)
		}
	}
	pl.setOverlay(now, id, holdings)
}

func (pl *placer) setOverlay(now time.Duration, id string, holdings []sessions.ModelOverride) {
	pl.counter++
	version := pl.token<<32 | pl.counter
	pl.overlays[id] = overlay{holdings: holdings, setAt: now}
	pl.process.table.SetOverlay(id, sessions.Overlay{Version: version, Holdings: holdings})
}

func (pl *placer) clearOverlay(now time.Duration, id string) { pl.setOverlay(now, id, nil) }

// retireOverlays ends overlays that the endpoints' own heartbeats have caught up with, also those of a predecessor.
func (pl *placer) retireOverlays(now time.Duration) {
	keep := overlayBeats*pl.process.settings.HeartbeatInterval() + reportLag
	for id, o := range pl.overlays {
		if now-o.setAt > keep && pl.underWay[id] == nil {
			if len(o.holdings) > 0 {
				pl.clearOverlay(now, id)
			}
			delete(pl.overlays, id)
		}
	}
	for _, e := range pl.process.table.Endpoints() {
		if _, own := pl.overlays[e.ID]; !own && len(e.Overlay.Holdings) > 0 {
			pl.overlays[e.ID] = overlay{holdings: e.Overlay.Holdings, setAt: now}
		}
	}
	for id := range pl.states {
		if _, ok := pl.process.table.Get(id); !ok {
			delete(pl.states, id)
		}
	}
}
