package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"dykering/internal/core"
	"dykering/internal/settings"
	"dykering/internal/validation"
)

// ErrNotSet is returned if BALANCER_CONFIG is not set or empty.
var ErrNotSet = errors.New("BALANCER_CONFIG: not set")

// platformFile is the JSON form of the configuration file. It is an alias, because encoding/json includes the name of a
// defined type in its errors, which operators see.
type platformFile = struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Control   string          `json:"control"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // hexadecimal
	Limits    core.Limits     `json:"limits"`
	Known     core.List       `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Load loads the configuration file at the path in BALANCER_CONFIG. BALANCER_NAME, BALANCER_LISTEN, BALANCER_CONTROL and
// BALANCER_DISCOVERY take precedence over the file. If values are invalid, the returned error joins one validation.Error for
// each of them.
func Load(getenv func(string) string) (*Config, error) {
	return load(getenv, append([]override{discoveryOverride}, overrides...))
}

// Reload loads the file again and returns a new configuration. It ignores BALANCER_DISCOVERY: the platform replaces the file
// to change the address of the discovery service, while the environment does not change during the life of the process.
func (c *Config) Reload() (*Config, error) {
	return load(c.getenv, overrides)
}

// load loads the file and applies the overrides from the environment.
func load(getenv func(string) string, overrides []override) (*Config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, ErrNotSet
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	positions := findKeys(text)
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, positions.locate(path, err)
	}
	c := &Config{
		Name: file.Name, Listen: file.Listen, Control: file.Control, Discovery: file.Discovery,
		Limits: file.Limits, Known: file.Known,
		path: path, getenv: getenv, sources: map[string]string{}, positions: positions,
	}
	c.applyEnvironment(overrides)
	if err := c.inheritListener(); err != nil {
		return nil, err
	}
	errs := validationErrors{path: path, positions: positions}
	c.parseSeed(file.Seed, &errs)
	c.parseSettings(file.Settings, &errs)
	c.check(&errs)
	if len(errs.errors) > 0 {
		return nil, validation.Join(errs.errors)
	}
	return c, nil
}

// parseSeed parses the hexadecimal seed.
func (c *Config) parseSeed(text string, errs *validationErrors) {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		errs.add("seed", fmt.Sprintf("%q is not a hexadecimal number of 64 bits", text))
	}
	c.Seed = seed
}

// parseSettings decodes and checks the settings.
func (c *Config) parseSettings(text json.RawMessage, errs *validationErrors) {
	if len(text) == 0 {
		errs.add("settings", "missing")
		return
	}
	var err error
	if c.Settings, _, err = settings.Parse(text); err != nil {
		key := "settings"
		if wrongType := new(json.UnmarshalTypeError); errors.As(err, &wrongType) {
			key += "." + wrongType.Field
		}
		errs.add(key, err.Error())
		return
	}
	if err := c.Settings.Check(); err != nil {
		errs.add("settings", err.Error())
	}
}
