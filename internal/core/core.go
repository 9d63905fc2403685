// Package core is what every protocol needs so that its calls are decided about and carried out: the calls from
// their arrival to their final answer, the loop that owns the decisions, the table of endpoints, the connections to
// them, the lifecycle, and the budgets of memory and sockets. It makes no decisions (they are the Balancer's) and
// knows no protocol: a front brings calls and delivers the final answers, an upstream carries attempts out.
package core

import (
	"go.uber.org/zap"

	"dykering/internal/settings"
)

// Config is what a Loop is started with.
type Config struct {
	Settings         settings.Settings
	Seed             uint64
	Limits           Limits // that this process may use
	CachedList       List   // the endpoints as this instance last had them; may be old
	DiscoveryAddress string // the address at which the list is asked for
	Log              *zap.Logger
}
