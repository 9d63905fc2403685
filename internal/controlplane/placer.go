package controlplane

import (
	"time"

	"dykering/internal/feed"
)

// placer places models while this member holds the role.
type placer struct {
	process *Process
}

func newPlacer(p *Process) *placer { return &placer{process: p} }

func (pl *placer) tick(time.Duration)          {}
func (pl *placer) settle(time.Duration)        {}
func (pl *placer) report(feed.DemandReport)    {}
func (pl *placer) forward(r feed.DemandReport) {}
