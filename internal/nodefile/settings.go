// Package nodefile reads the settings file of a system process: who it is, where it listens, what it may use, and the
// bounds that every timer of the system derives from. Unknown fields are ignored, as new ones may be added.
package nodefile

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Variable is the environment variable that holds the path of the settings file.
const Variable = "DYKERING_NODE_FILE"

// Settings is the content of a settings file.
type Settings struct {
	NodeName            string            `toml:"node_name"`
	Role                string            `toml:"role"`
	MachineClass        string            `toml:"machine_class"`
	Serves              []string          `toml:"serves"`
	IPAddress           string            `toml:"ip_address"`
	Zone                string            `toml:"zone"`
	Region              string            `toml:"region"`
	InternalPortRange   []int             `toml:"internal_port_range"`
	SeedNodes           []string          `toml:"seed_nodes"`
	InitialStart        bool              `toml:"initial_start"`
	CountsForQuorum     bool              `toml:"counts_for_quorum"`
	DataDirectory       string            `toml:"data_directory"`
	HeartbeatIntervalMs int               `toml:"heartbeat_interval_ms"`
	Zones               map[string]string `toml:"zones"`
	Listen              ListenAddresses   `toml:"listen_addresses"`
	Limits              Limits            `toml:"limits"`
	Tolerance           FaultTolerance    `toml:"fault_tolerance"`
	Bounds              Bounds            `toml:"bounds"`
}

// ListenAddresses are the addresses at which a role is called from outside.
type ListenAddresses struct {
	Frontend     string `toml:"frontend"`
	Readiness    string `toml:"readiness"`
	ControlPlane string `toml:"control_plane"`
}

// Limits bound what the process may use.
type Limits struct {
	CPUShare        float64 `toml:"cpu_share"`
	CPUCores        int     `toml:"cpu_cores"`
	MemoryMB        int     `toml:"memory_mb"`
	FileDescriptors int     `toml:"file_descriptors"`
	LinkMbps        float64 `toml:"link_mbps"`
	DiskMB          int     `toml:"disk_mb"`
}

// FaultTolerance is what may be lost at once while all rules are kept.
type FaultTolerance struct {
	MachineFailures int `toml:"machine_failures"`
	Zones           int `toml:"zones"`
	RegionFailures  int `toml:"region_failures"`
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	SeedLagS            float64 `toml:"seed_lag_s"`
	AddressReuseS       float64 `toml:"address_reuse_s"`
	ContactMs           float64 `toml:"contact_ms"`
	AcknowledgeMs       float64 `toml:"acknowledge_ms"`
	CatchUpS            float64 `toml:"catch_up_s"`
	DrainTimeoutMs      float64 `toml:"drain_timeout_ms"`
	GracePeriodS        float64 `toml:"grace_period_s"`
	LossSlackMs         float64 `toml:"loss_slack_ms"`
	ConfigApplyMs       float64 `toml:"config_apply_ms"`
	RollbackSlackMs     float64 `toml:"rollback_slack_ms"`
	InstabilityBoundMs  float64 `toml:"instability_bound_ms"`
	RetryBudgetRatio    float64 `toml:"retry_budget_ratio"`
	BudgetWindowS       float64 `toml:"budget_window_s"`
	RetryBudgetSlack    float64 `toml:"retry_budget_slack"`
	RecoveryS           float64 `toml:"recovery_s"`
	PassMs              float64 `toml:"pass_ms"`
	FencingEnabled      bool    `toml:"fencing_enabled"`
	LeaseDurationMs     float64 `toml:"lease_duration_ms"`
	ThawSlackMs         float64 `toml:"thaw_slack_ms"`
	CeilingWindowS      float64 `toml:"ceiling_window_s"`
	OriginRateOvershoot float64 `toml:"origin_rate_overshoot"`
}

// Defaults are the bounds of a file that leaves them out.
func Defaults() Settings {
	return Settings{
		HeartbeatIntervalMs: 1200,
		Tolerance:           FaultTolerance{MachineFailures: 1},
		Bounds: Bounds{
			SeedLagS: 3, AddressReuseS: 2, ContactMs: 3000, AcknowledgeMs: 4000, CatchUpS: 4, DrainTimeoutMs: 2000,
			GracePeriodS: 8, LossSlackMs: 200, ConfigApplyMs: 2000, RollbackSlackMs: 250, InstabilityBoundMs: 5000,
			RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetryBudgetSlack: 0, RecoveryS: 12, PassMs: 120,
			LeaseDurationMs: 3000, ThawSlackMs: 300, CeilingWindowS: 5, OriginRateOvershoot: 1,
		},
	}
}

// LoadFromEnvironment reads the file that the environment variable names.
func LoadFromEnvironment() (Settings, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return Settings{}, errors.Errorf("%s is not set: it names the settings file", Variable)
	}
	return Load(path)
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings file")
	}
	s, err := Parse(text)
	return s, errors.Wrapf(err, "settings file %s", path)
}

// Parse reads settings from text and checks them.
func Parse(text []byte) (Settings, error) {
	s := Defaults()
	if err := toml.Unmarshal(text, &s); err != nil {
		return Settings{}, errors.Wrap(err, "not valid TOML")
	}
	return s, s.check()
}

func (s *Settings) check() error {
	if net.ParseIP(s.IPAddress) == nil {
		return errors.Errorf("ip_address: %q is not an IP address", s.IPAddress)
	}
	if len(s.InternalPortRange) != 2 || s.InternalPortRange[0] < 1 || s.InternalPortRange[1] > 65535 ||
		s.InternalPortRange[0] > s.InternalPortRange[1] {
		return errors.Errorf("internal_port_range: %v is not a range of ports", s.InternalPortRange)
	}
	if len(s.SeedNodes) == 0 {
		return errors.New("seed_nodes: none given")
	}
	for _, seed := range s.SeedNodes {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return errors.Errorf("seed_nodes: %q is not an address", seed)
		}
	}
	if s.HeartbeatIntervalMs <= 0 {
		return errors.Errorf("heartbeat_interval_ms: %d is not above 0", s.HeartbeatIntervalMs)
	}
	positive := []struct {
		key   string
		value float64
	}{
		{"contact_ms", s.Bounds.ContactMs}, {"acknowledge_ms", s.Bounds.AcknowledgeMs},
		{"drain_timeout_ms", s.Bounds.DrainTimeoutMs}, {"grace_period_s", s.Bounds.GracePeriodS},
		{"config_apply_ms", s.Bounds.ConfigApplyMs}, {"budget_window_s", s.Bounds.BudgetWindowS},
		{"lease_duration_ms", s.Bounds.LeaseDurationMs}, {"ceiling_window_s", s.Bounds.CeilingWindowS},
	}
	for _, figure := range positive {
		if figure.value <= 0 {
			return errors.Errorf("bounds.%s: %v is not above 0", figure.key, figure.value)
		}
	}
	return nil
}

// InternalAddress is where the control process of a machine is called by other processes of the system. Ports are
// alike on all machines.
func (s *Settings) InternalAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.InternalPortRange[0]))
}

// SeedInternalAddresses are the internal addresses of the seeds.
func (s *Settings) SeedInternalAddresses() []string {
	var addresses []string
	for _, seed := range s.SeedNodes {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // checked by Parse
		}
		addresses = append(addresses, s.InternalAddress(host))
	}
	return addresses
}

// HeartbeatInterval is the time between two heartbeats of an endpoint.
func (s *Settings) HeartbeatInterval() time.Duration {
	return Milliseconds(float64(s.HeartbeatIntervalMs))
}

// Milliseconds makes a duration of a figure in milliseconds.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds makes a duration of a figure in seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
