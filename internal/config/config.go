// Package config reads what the platform tells a process at its start.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"dykering/internal/core"
	"dykering/internal/settings"
	"dykering/internal/validation"
)

// Config is what a process is told at its start.
type Config struct {
	Name      string
	Listen    string
	Control   string // where those who operate it call; empty for nowhere
	Discovery string
	Seed      uint64
	Limits    core.Limits
	Known     core.List // the endpoints as this sidecar last had them; may be old
	Settings  settings.Settings
	// Accept is the descriptor of a listening socket that the platform holds and this process has inherited; nil
	// where it makes its own. Another process, the version before or after this one, may accept on it too.
	Accept *int

	// Handover is a directory that the processes that accept on that socket share; empty where they have none. Who
	// ends passes its connections on to its successor there.
	Handover string

	getenv  func(string) string // where it was loaded from
	sources map[string]string   // of the values that the file does not give
	lines   places
	path    string
}

// Load reads the configuration file that BALANCER_CONFIG names.
// BALANCER_NAME, BALANCER_LISTEN, BALANCER_CONTROL and BALANCER_DISCOVERY win over the file.
func Load(getenv func(string) string) (*Config, error) {
	return load(getenv, true)
}

// Reload reads the file again. Whoever replaced it meant its discovery: the environment is as old as the
// process, and wins no more.
func (c *Config) Reload() (*Config, error) {
	return load(c.getenv, false)
}

func load(getenv func(string) string, envDiscovery bool) (*Config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("BALANCER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Control   string          `json:"control"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    core.Limits     `json:"limits"`
		Known     *core.List      `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	at := lines(text)
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, at.fault(path, err)
	}
	c := &Config{
		Name: file.Name, Listen: file.Listen, Control: file.Control, Discovery: file.Discovery,
		Limits: file.Limits, getenv: getenv, path: path, lines: at, sources: map[string]string{},
	}
	fromEnv := map[string]*string{"BALANCER_NAME": &c.Name, "BALANCER_LISTEN": &c.Listen, "BALANCER_CONTROL": &c.Control}
	if envDiscovery {
		fromEnv["BALANCER_DISCOVERY"] = &c.Discovery
	}
	for variable, value := range fromEnv {
		if v := getenv(variable); v != "" {
			*value = v
			c.sources[strings.ToLower(strings.TrimPrefix(variable, "BALANCER_"))] = "environment " + variable
		}
	}
	if text := getenv("BALANCER_ACCEPT_FD"); text != "" {
		fd, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return nil, fmt.Errorf("BALANCER_ACCEPT_FD: %q is not a descriptor", text)
		}
		inherited := int(fd)
		c.Accept = &inherited
		c.Handover = getenv("TMPDIR")
	}
	if file.Known != nil {
		c.Known = *file.Known
	}
	var wrong []validation.Error
	fault := func(key, text string) {
		wrong = append(wrong, validation.Error{File: path, Line: at.of[key], Key: key, Text: text})
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		fault("seed", fmt.Sprintf("%q is not a hexadecimal number of 64 bits", file.Seed))
	}
	if len(file.Settings) == 0 {
		fault("settings", "missing")
	} else if c.Settings, _, err = settings.Parse(file.Settings); err != nil {
		key := "settings"
		if mistyped := new(json.UnmarshalTypeError); errors.As(err, &mistyped) {
			key += "." + mistyped.Field
		}
		fault(key, err.Error())
	} else if err := c.Settings.Check(); err != nil {
		fault("settings", err.Error())
	}
	c.check(fault)
	if len(wrong) > 0 {
		return nil, validation.Join(wrong)
	}
	return c, nil
}

// Plan is what this process may use of the limits. Where it may have to share them with its successor, both at
// the full would be too much from the moment the second one starts.
func (c *Config) Plan() core.Limits {
	limits := c.Limits
	if c.Accept != nil {
		limits.MemoryMB /= sharers
		limits.Sockets /= sharers
	}
	return limits
}

// Core is what the core is told of it.
func (c *Config) Core() core.Config {
	return core.Config{Settings: c.Settings, Seed: c.Seed, Limits: c.Plan(), CachedList: c.Known, DiscoveryAddress: c.Discovery}
}

// Value is one value, and where it comes from.
type Value struct{ Key, Text, Source string }

// Values are what the platform says, but for the settings of the decisions and the list, of which it is told where
// they stand.
func (c *Config) Values() (all []Value) {
	add := func(key, text string) {
		source, ok := c.sources[key]
		if line := c.lines.of[key]; !ok && line > 0 {
			source = fmt.Sprintf("%s:%d", c.path, line)
		} else if !ok {
			source = "not set"
		}
		all = append(all, Value{key, text, source})
	}
	add("name", strconv.Quote(c.Name))
	add("listen", strconv.Quote(c.Listen))
	if c.Accept != nil {
		all = append(all, Value{"accept_fd", strconv.Itoa(*c.Accept), "environment BALANCER_ACCEPT_FD"})
	}
	add("control", strconv.Quote(c.Control))
	add("discovery", strconv.Quote(c.Discovery))
	add("limits.cores", fmt.Sprint(c.Limits.Cores))
	add("limits.memory_mb", fmt.Sprint(c.Limits.MemoryMB))
	add("limits.sockets", fmt.Sprint(c.Limits.Sockets))
	add("known", fmt.Sprintf("%d endpoints of version %d", len(c.Known.Targets), c.Known.Rev))
	add("settings", fmt.Sprintf("%d classes, %d tenants, %d instances", len(c.Settings.Classes), len(c.Settings.Tenants),
		c.Settings.Instances))
	return all
}

// sharers is how many processes may accept on an inherited socket at a time.
const sharers = 2

// LeastSockets leaves room for some connections beside those that are reserved.
const LeastSockets = 64

// check names the values that a process cannot run with.
func (c *Config) check(fault func(key, text string)) {
	for _, place := range []struct{ key, address string }{
		{"listen", c.Listen},
		{"control", c.Control},
		{"discovery", c.Discovery},
	} {
		if place.key == "control" && place.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(place.address); err != nil {
			fault(place.key, fmt.Sprintf("%q is not host:port", place.address))
		}
	}
	if c.Name == "" {
		fault("name", "missing")
	}
	if c.Limits.Cores <= 0 {
		fault("limits.cores", fmt.Sprintf("%v is not above 0", c.Limits.Cores))
	}
	if c.Plan().MemoryMB <= 0 {
		fault("limits.memory_mb", fmt.Sprintf("%v leaves a process nothing", c.Limits.MemoryMB))
	}
	if c.Plan().Sockets < LeastSockets {
		fault("limits.sockets", fmt.Sprintf("%v leaves a process less than %d", c.Limits.Sockets, LeastSockets))
	}
	if c.Settings.Classes != nil && c.Settings.ConnectTimeout <= 0 {
		fault("settings.allowed.connectTimeout", "not above 0")
	}
}

// places are the lines of a JSON text's keys.
type places struct {
	text []byte
	of   map[string]int
}

// lines finds the line of each key of an object and of the objects in it, up to where it cannot be read.
func lines(text []byte) places {
	p := places{text, map[string]int{}}
	d := json.NewDecoder(bytes.NewReader(text))
	var value func(prefix string) bool
	value = func(prefix string) bool {
		token, err := d.Token()
		if err != nil {
			return false
		}
		switch token {
		case json.Delim('{'):
			for d.More() {
				key, err := d.Token()
				if err != nil {
					return false
				}
				name := prefix + fmt.Sprint(key)
				p.of[name] = p.line(d.InputOffset())
				if !value(name + ".") {
					return false
				}
			}
			_, err = d.Token()
		case json.Delim('['):
			for d.More() {
				if !value(prefix) {
					return false
				}
			}
			_, err = d.Token()
		}
		return err == nil
	}
	value("")
	return p
}

func (p places) line(offset int64) int {
	return 1 + bytes.Count(p.text[:min(max(offset, 0), int64(len(p.text)))], []byte("\n"))
}

// fault is what is wrong with a text that cannot be read.
func (p places) fault(path string, err error) error {
	f := validation.Error{File: path, Text: err.Error()}
	if broken := new(json.SyntaxError); errors.As(err, &broken) {
		f.Line = p.line(broken.Offset)
	}
	if mistyped := new(json.UnmarshalTypeError); errors.As(err, &mistyped) {
		f.Line, f.Key = p.line(mistyped.Offset), mistyped.Field
	}
	return f
}
