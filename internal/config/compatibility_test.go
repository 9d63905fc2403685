package config

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"dykering/internal/core"
)

// platformFileText is a configuration file as the platform writes it, with all keys.
const platformFileText = `{
"name": "b1",
"listen": "127.0.0.1:1001",
"control": "127.0.0.1:1002",
"discovery": "127.0.0.1:1003",
"seed": "a1b2",
"limits": {"cores": 1.5, "memory_mb": 2048, "sockets": 3000},
"known": {"rev": 4, "all": true, "targets": [{"uid": "u1", "endpoint": "127.0.0.1:1005", "az": "z", "model": "m",
  "pod_group": 6, "state": "ready", "capacity_hint": 7.5, "boot_ms": 8}]},
"settings": ` + settingsText + "\n}"

// loadPlatformFile loads platformFileText with the given environment variables.
func loadPlatformFile(t *testing.T, environment map[string]string) *Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "platform.json")
	if err := os.WriteFile(path, []byte(platformFileText), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Load(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return path
		}
		return environment[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Each key of the platform's file is read under the name that the platform writes.
func TestPlatformFileIsReadByItsKeys(t *testing.T) {
	c := loadPlatformFile(t, nil)
	target := core.Target{UID: "u1", Address: "127.0.0.1:1005", Zone: "z", Model: "m", Cell: 6, State: "ready", Weight: 7.5, BootMS: 8}
	known := core.List{Rev: 4, Full: true, Targets: []core.Target{target}}
	limits := core.Limits{Cores: 1.5, MemoryMB: 2048, Sockets: 3000}
	got := fmt.Sprint(c.Name, c.Listen, c.Control, c.Discovery, c.Seed, c.Limits)
	want := fmt.Sprint("b1", "127.0.0.1:1001", "127.0.0.1:1002", "127.0.0.1:1003", uint64(0xa1b2), limits)
	if got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if !reflect.DeepEqual(c.Known, known) {
		t.Errorf("known %+v, want %+v", c.Known, known)
	}
	if len(c.Settings.Classes) != 3 || c.Settings.MaxAttempts != 5 {
		t.Errorf("settings %+v", c.Settings)
	}
}

// The environment variables are read under the names that the platform sets.
func TestEnvironmentOfPlatformIsReadByItsNames(t *testing.T) {
	c := loadPlatformFile(t, map[string]string{
		"BALANCER_NAME":      "b2",
		"BALANCER_LISTEN":    "127.0.0.1:2001",
		"BALANCER_CONTROL":   "127.0.0.1:2002",
		"BALANCER_DISCOVERY": "127.0.0.1:2003",
		"BALANCER_ACCEPT_FD": "7",
		"TMPDIR":             "/shared",
	})
	if c.Accept == nil {
		t.Fatal("BALANCER_ACCEPT_FD was not read")
	}
	got := fmt.Sprint(c.Name, c.Listen, c.Control, c.Discovery, *c.Accept, c.Handover)
	want := fmt.Sprint("b2", "127.0.0.1:2001", "127.0.0.1:2002", "127.0.0.1:2003", 7, "/shared")
	if got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// Values returns the keys that `dykering config show` prints, in their order.
func TestValuesHaveTheirKeys(t *testing.T) {
	var keys []string
	for _, value := range loadPlatformFile(t, map[string]string{"BALANCER_ACCEPT_FD": "7"}).Values() {
		keys = append(keys, value.Key)
	}
	want := "name listen accept_fd control discovery limits.cores limits.memory_mb limits.sockets known settings"
	if got := strings.Join(keys, " "); got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
