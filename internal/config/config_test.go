package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dykering/internal/core"
)

// settingsText is a valid settings object.
const settingsText = `{"allowed":{"cancel":true,"connIdle":30000000,"connectTimeout":2000000,"maxRetryAfter":2000000,
	"mayProbe":true,"openCap":1000,"peers":false,"retryAfter":true,"secondCopies":false,"sendCap":5},
	"clientHabits":{"marksRetry":false},"discovery":"push","instances":1,"ordinal":0,"quantum":5000,"stage":0,
	"rules":{"cold":1000000,"coldFrom":0.3,"drainGrace":250000,"fall":1000000,"graceToAnswer":20000,"tipMultiple":3},
	"services":[
	{"name":"read","aim":9000000,"deadline":10000000,"effect":"read_like","gain":1,"window":0},
	{"name":"book","aim":9000000,"deadline":10000000,"effect":"idempotency_key","keyScope":"cell","gain":1,"window":10000000},
	{"name":"once","aim":9000000,"deadline":10000000,"effect":"non_idempotent","gain":1,"window":0}],
	"tenants":[],"tiers":["front"],"zones":["z"],"models":["m"]}`

// An invalid value is reported with its key on a single line, and an invalid descriptor with its variable.
func TestLoadErrorsNameTheKeyOrVariable(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a1","limits":{"cores":1,"memory_mb":9,"sockets":99},"settings":` + settingsText + `}`
	file := filepath.Join(t.TempDir(), "c.json")
	load := func(text string) error {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(func(name string) string { return map[string]string{"BALANCER_CONFIG": file}[name] })
		return err
	}
	if err := load(good); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string][2]string{
		"listen":    {"127.0.0.1:1", "nowhere"},
		"discovery": {"127.0.0.1:2", ""},
		"control":   {`"name":"n"`, `"name":"n","control":"here"`},
		"seed":      {`"a1"`, `"xyz"`},
		"name":      {`"n"`, `""`},
		"cores":     {`"cores":1`, `"cores":0`},
		"memory_mb: -1 leaves no memory for a process":          {`"memory_mb":9`, `"memory_mb":-1`},
		"sockets: 9 leaves fewer than 64 sockets for a process": {`"sockets":99`, `"sockets":9`},
		"connectTimeout":  {`"connectTimeout":2000000`, `"connectTimeout":0`},
		"unexpected end":  {"}]", ""},
		"settings object": {`"cancel":true`, `"cancel":7`},
	} {
		err := load(strings.Replace(good, change[0], change[1], 1))
		if want == "unexpected end" {
			err = load(good[:len(good)/2])
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v", want, err)
		}
	}
	for _, fd := range []string{"five", "-1", "5x"} {
		env := map[string]string{"BALANCER_CONFIG": file, "BALANCER_ACCEPT_FD": fd}
		if err := os.WriteFile(file, []byte(good), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(func(name string) string { return env[name] }); err == nil ||
			!strings.Contains(err.Error(), "BALANCER_ACCEPT_FD") {
			t.Errorf("descriptor %q: got %v", fd, err)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil {
		t.Error("Load without BALANCER_CONFIG succeeded")
	}
}

// The limits of two processes that share a container add up to at most those of a single process.
func TestTwoProcessesShareTheLimits(t *testing.T) {
	c := &Config{Limits: core.Limits{Cores: 1, MemoryMB: 64, Sockets: 512}}
	alone := c.Plan()
	c.Accept = new(int)
	if half := c.Plan(); alone != c.Limits || 2*half.MemoryMB > alone.MemoryMB || 2*half.Sockets > alone.Sockets {
		t.Errorf("limits of a single process %+v, of each of two processes %+v", alone, half)
	}
}
