package nodefile

import (
	"fmt"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Variable is the name of the environment variable with the path of the settings file.
const Variable = "DYKERING_NODE_FILE"

// ErrVariableNotSet means that the environment variable with the path of the settings file is not set.
var ErrVariableNotSet = errors.New(Variable + " is not set: it names the settings file")

// InvalidSettingError is the error for a setting whose value fails validation.
type InvalidSettingError struct {
	Key     string // with the name of its table, as in the file
	Problem string
}

// Error returns the key and the problem.
func (e *InvalidSettingError) Error() string { return e.Key + ": " + e.Problem }

func invalid(key, format string, args ...any) error {
	return &InvalidSettingError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// LoadFromEnvironment reads and validates the settings file that the environment names. Its errors are ErrVariableNotSet
// and those of Load.
func LoadFromEnvironment() (Settings, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return Settings{}, ErrVariableNotSet
	}
	return Load(path)
}

// Load reads and validates a settings file. Its errors wrap errors of the file system and of Parse.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings file")
	}
	s, err := Parse(text)
	return s, errors.Wrapf(err, "settings file %s", path)
}

// Parse decodes settings from TOML and validates them. It returns an *InvalidSettingError for a value that fails validation,
// and wraps the parser's error for text that is not TOML or a value of a wrong type.
func Parse(text []byte) (Settings, error) {
	s := Defaults()
	if err := toml.Unmarshal(text, &s); err != nil {
		return Settings{}, errors.Wrap(err, "not valid TOML")
	}
	return s, s.validate()
}

func (s *Settings) validate() error {
	if net.ParseIP(s.IPAddress) == nil {
		return invalid("ip_address", "%q is not an IP address", s.IPAddress)
	}
	if !isPortRange(s.InternalPortRange) {
		return invalid("internal_port_range", "%v is not a range of ports from 1 to 65535, such as [7660, 7675]", s.InternalPortRange)
	}
	if err := validateSeeds(s.SeedNodes); err != nil {
		return err
	}
	if s.HeartbeatIntervalMs <= 0 {
		return invalid("heartbeat_interval_ms", "%d is not above 0", s.HeartbeatIntervalMs)
	}
	return s.Bounds.validate()
}

func isPortRange(ports []int) bool {
	const lowest, highest = 1, 65535
	return len(ports) == 2 && lowest <= ports[0] && ports[0] <= ports[1] && ports[1] <= highest
}

func validateSeeds(seeds []string) error {
	if len(seeds) == 0 {
		return invalid("seed_nodes", "at least one address is required")
	}
	for _, seed := range seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return invalid("seed_nodes", "%q is not an address of the form host:port", seed)
		}
	}
	return nil
}

// validate rejects values of 0 or less for bounds from which time-outs or windows derive.
func (b *Bounds) validate() error {
	positive := []struct {
		key   string
		value float64
	}{
		{"contact_ms", b.ContactMs},
		{"acknowledge_ms", b.AcknowledgeMs},
		{"drain_timeout_ms", b.DrainTimeoutMs},
		{"grace_period_s", b.GracePeriodS},
		{"config_apply_ms", b.ConfigApplyMs},
		{"budget_window_s", b.BudgetWindowS},
		{"lease_duration_ms", b.LeaseDurationMs},
		{"ceiling_window_s", b.CeilingWindowS},
		{"history_s", b.HistoryS},
		{"free_ms", b.FreeMs},
	}
	for _, bound := range positive {
		if bound.value <= 0 {
			return invalid("bounds."+bound.key, "%v is not above 0", bound.value)
		}
	}
	return nil
}
