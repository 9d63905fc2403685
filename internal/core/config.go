package core

import (
	"go.uber.org/zap"

	"dykering/internal/settings"
)

// Config is the configuration of a Loop.
type Config struct {
	Settings         settings.Settings
	Seed             uint64      // seed of the Balancer's random numbers
	Limits           Limits      // resources that this process may use
	CachedList       List        // the last endpoint list of a previous process; may be stale
	DiscoveryAddress string      // host:port of the discovery service
	Log              *zap.Logger // nil disables logging
}
