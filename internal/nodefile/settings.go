package nodefile

import (
	"net"
	"strconv"
	"time"
)

// Settings is the content of a settings file. Each field is one key. Fields marked "Not used" are decoded too, so that a
// value of a wrong type is an error.
type Settings struct {
	// NodeName is the unique name of the process in logs, in the status, and as the lease holder in orders to endpoints.
	NodeName string `toml:"node_name"`
	// Role is the role of the process in the deploy file. It is only logged.
	Role string `toml:"role"`
	// MachineClass is the class of the machine in the deploy file. Not used.
	MachineClass string `toml:"machine_class"`
	// Serves lists the external interfaces of the role: "frontend" for clients, "control_plane" for endpoints and operators.
	// Not used: the addresses in Listen contain the same information.
	Serves []string `toml:"serves"`
	// IPAddress is the machine's address. Required.
	IPAddress string `toml:"ip_address"`
	// Zone is the zone of the machine, which is compared with the zones of endpoints and control processes. Default: none.
	Zone string `toml:"zone"`
	// Region is the region of the machine. Not used.
	Region string `toml:"region"`
	// InternalPortRange holds the first and the last port, from 1 to 65535, of the range for messages between processes. The
	// first port is used. The range is the same on all machines. Required.
	InternalPortRange []int `toml:"internal_port_range"`
	// SeedNodes are the control_plane addresses (host:port) of the control processes to contact first. The machine's own
	// address may be among them. At least one is required.
	SeedNodes []string `toml:"seed_nodes"`
	// InitialStart is true when the whole system starts for the first time, with empty disks. The control processes create a
	// new chain only then. Default: false.
	InitialStart bool `toml:"initial_start"`
	// CountsForQuorum is true if the machine counts towards FaultTolerance. Not used.
	CountsForQuorum bool `toml:"counts_for_quorum"`
	// DataDirectory is the folder for files that must survive a restart of the process. A control process requires it.
	// Default: none, for a machine without a disk.
	DataDirectory string `toml:"data_directory"`
	// HeartbeatIntervalMs is the time between two heartbeats of an endpoint, in milliseconds, above 0. A session expires after
	// three intervals and one second without a heartbeat. Default: 1200.
	HeartbeatIntervalMs int `toml:"heartbeat_interval_ms"`
	// Zones maps each zone to its region. Not used.
	Zones map[string]string `toml:"zones"`

	Listen    ListenAddresses `toml:"listen_addresses"`
	Limits    Limits          `toml:"limits"`
	Tolerance FaultTolerance  `toml:"fault_tolerance"`
	Bounds    Bounds          `toml:"bounds"`
}

// ListenAddresses are the external addresses (host:port) of a role. Addresses of interfaces that the role does not serve are
// empty.
type ListenAddresses struct {
	// Frontend is the address at which a proxy serves clients.
	Frontend string `toml:"frontend"`
	// Readiness is the address at which a proxy answers readiness probes and serves its metrics.
	Readiness string `toml:"readiness"`
	// ControlPlane is the address at which a control process serves endpoints and operators.
	ControlPlane string `toml:"control_plane"`
}

// Limits bound the resources of the process. The default of each is 0.
type Limits struct {
	// CPUShare is the fraction of a core that the process gets. Not used.
	CPUShare float64 `toml:"cpu_share"`
	// CPUCores is the number of cores and the value of GOMAXPROCS. 0 counts as 1.
	CPUCores int `toml:"cpu_cores"`
	// MemoryMB is the memory, in MiB, above which the platform kills the process. The memory limit of the Go runtime and the
	// memory for request bodies derive from it. With 0 the runtime has no limit.
	MemoryMB int `toml:"memory_mb"`
	// FileDescriptors is the limit of file descriptors. A proxy derives its connection limits from it.
	FileDescriptors int `toml:"file_descriptors"`
	// LinkMbps is the bandwidth of the machine's link, in megabits a second. Not used.
	LinkMbps float64 `toml:"link_mbps"`
	// DiskMB is the size of the disk, in MiB. The size of the log files derives from it.
	DiskMB int `toml:"disk_mb"`
}

// FaultTolerance is the number of simultaneous failures that the system must tolerate.
type FaultTolerance struct {
	// MachineFailures is the number of quorum machines that may fail at once. The numbers of replicas in the chain and of
	// voters derive from it. Default: 1.
	MachineFailures int `toml:"machine_failures"`
	// Zones is the number of zones. Not used.
	Zones int `toml:"zones"`
	// RegionFailures is the number of regions that may fail at once. Not used.
	RegionFailures int `toml:"region_failures"`
}

// Bounds are the limits that the platform's rules set. The names end in their unit. The packages that use a bound derive their
// time-outs and windows from it.
type Bounds struct {
	// SeedLagS is the time by which SeedNodes may be out of date. Default: 3. Not used.
	SeedLagS float64 `toml:"seed_lag_s"`
	// AddressReuseS is the time after the end of an endpoint before its address may be given to another one. Default: 2. Not
	// used: requests name the endpoint that they expect.
	AddressReuseS float64 `toml:"address_reuse_s"`
	// ContactMs is the time within which processes must detect that they can reach each other. Ping intervals, the suspicion
	// of members, the lease and the time-out of a stream are fractions of it. Above 0. Default: 3000.
	ContactMs float64 `toml:"contact_ms"`
	// AcknowledgeMs is the time limit for acknowledging a configuration change. Above 0. Default: 4000.
	AcknowledgeMs float64 `toml:"acknowledge_ms"`
	// CatchUpS is the time after which a restarted machine counts as available again. Default: 4. Not used.
	CatchUpS float64 `toml:"catch_up_s"`
	// DrainTimeoutMs is the time for which an endpoint continues to serve after its drain was acknowledged. Above 0.
	// Default: 2000.
	DrainTimeoutMs float64 `toml:"drain_timeout_ms"`
	// GracePeriodS is the time between SIGTERM and SIGKILL. Above 0. Default: 8.
	GracePeriodS float64 `toml:"grace_period_s"`
	// LossSlackMs is not used. Default: 200.
	LossSlackMs float64 `toml:"loss_slack_ms"`
	// ConfigApplyMs is the time within which all proxies must apply an acknowledged configuration. A proxy that has had no
	// update for this time no longer says that a route does not exist. Above 0. Default: 2000.
	ConfigApplyMs float64 `toml:"config_apply_ms"`
	// RollbackSlackMs is not used. Default: 250.
	RollbackSlackMs float64 `toml:"rollback_slack_ms"`
	// InstabilityBoundMs is not used. Default: 5000.
	InstabilityBoundMs float64 `toml:"instability_bound_ms"`
	// RetryBudgetRatio is the number of retries per request that the fleet may make. Default: 0.2.
	RetryBudgetRatio float64 `toml:"retry_budget_ratio"`
	// BudgetWindowS is the window over which the retry budget is counted. Above 0. Default: 10.
	BudgetWindowS float64 `toml:"budget_window_s"`
	// RetryBudgetSlack is the number of retries that the fleet may make in each window beyond the ratio. Default: 0.
	RetryBudgetSlack float64 `toml:"retry_budget_slack"`
	// RecoveryS is not used. Default: 12.
	RecoveryS float64 `toml:"recovery_s"`
	// PassMs is not used. Default: 120.
	PassMs float64 `toml:"pass_ms"`
	// FencingEnabled is true if endpoints reject orders with a lower fencing token than they have seen. Default: false. Not
	// used: orders always carry the token.
	FencingEnabled bool `toml:"fencing_enabled"`
	// LeaseDurationMs is the time within which the lease may not alternate between two holders. Above 0. Default: 3000.
	LeaseDurationMs float64 `toml:"lease_duration_ms"`
	// ThawSlackMs is the time for which a process that was frozen may continue to act on a lease that expired meanwhile. A new
	// lease holder waits for this time. Default: 300.
	ThawSlackMs float64 `toml:"thaw_slack_ms"`
	// CeilingWindowS is the window of the weight store's rate limit (loads_per_s of a service). Above 0. Default: 5.
	CeilingWindowS float64 `toml:"ceiling_window_s"`
	// HistoryS is the time, in seconds, for which a watch can be resumed from a revision that it received. Above 0.
	// Default: 20.
	HistoryS float64 `toml:"history_s"`
	// FreeMs is the time within which a lock must be available again after its hold expired. Above 0. Default: 1500.
	FreeMs float64 `toml:"free_ms"`
	// OriginRateOvershoot is the factor by which loads in a window may exceed the rate limit. Default: 1.
	OriginRateOvershoot float64 `toml:"origin_rate_overshoot"`
}

// Defaults returns the settings for keys that a file omits.
func Defaults() Settings {
	return Settings{
		HeartbeatIntervalMs: 1200,
		Tolerance:           FaultTolerance{MachineFailures: 1},
		Bounds: Bounds{
			SeedLagS:            3,
			AddressReuseS:       2,
			ContactMs:           3000,
			AcknowledgeMs:       4000,
			CatchUpS:            4,
			DrainTimeoutMs:      2000,
			GracePeriodS:        8,
			LossSlackMs:         200,
			ConfigApplyMs:       2000,
			RollbackSlackMs:     250,
			InstabilityBoundMs:  5000,
			RetryBudgetRatio:    0.2,
			BudgetWindowS:       10,
			RetryBudgetSlack:    0,
			RecoveryS:           12,
			PassMs:              120,
			LeaseDurationMs:     3000,
			ThawSlackMs:         300,
			CeilingWindowS:      5,
			HistoryS:            20,
			FreeMs:              1500,
			OriginRateOvershoot: 1,
		},
	}
}

// InternalAddress returns the address (host:port) at which the control process on a host receives messages of other
// processes. Its port is the same on all machines.
func (s *Settings) InternalAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.InternalPortRange[0]))
}

// SeedInternalAddresses returns the internal addresses of the seeds.
func (s *Settings) SeedInternalAddresses() []string {
	var addresses []string
	for _, seed := range s.SeedNodes {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // cannot happen: validate rejects such seeds
		}
		addresses = append(addresses, s.InternalAddress(host))
	}
	return addresses
}

// HeartbeatInterval returns HeartbeatIntervalMs as a duration.
func (s *Settings) HeartbeatInterval() time.Duration {
	return Milliseconds(float64(s.HeartbeatIntervalMs))
}

// Milliseconds returns a number of milliseconds as a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds returns a number of seconds as a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
