package core

import (
	"go.uber.org/zap"

	"dykering/internal/settings"
)

// Config is what a Loop is started with.
type Config struct {
	Settings         settings.Settings
	Seed             uint64 // of the Balancer's random numbers
	Limits           Limits // that this process may use
	CachedList       List   // the endpoints as this instance last had them; may be old
	DiscoveryAddress string
	Log              *zap.Logger // nil logs nothing
}
