package main

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"dykering/internal/lab/real"
)

// TestMain lets the test binary act as the broker or the reverse proxy, which the commands start as processes of this program.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == "broker" || os.Args[1] == "reverse-proxy") {
		os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr, nil))
	}
	os.Exit(m.Run())
}

// The demo must lose no request through a drain, a crash and a change of version, and must leave no files behind.
func TestDemo(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	code, out, errOut := command("demo --lasts 6s")
	if code != 0 || !strings.Contains(out, " 0 lost") || !strings.Contains(out, "a new version takes over") {
		t.Errorf("exit %d\n%s%s", code, out, errOut)
	}
	if left, err := os.ReadDir(os.Getenv("TMPDIR")); err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
}

// A cancelled demo must end soon, and the error for a broker that fails to start must contain the reason from its log.
func TestDemoEndsInAllCases(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	time.AfterFunc(time.Second, cancel)
	var out strings.Builder
	if err := demo(ctx, &out, time.Minute); err != nil || time.Since(began) > 20*time.Second {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	bad, err := real.NewSite(nil, "{}", real.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	defer bad.Close()
	if err := startBroker(context.Background(), bad); err == nil || !strings.Contains(err.Error(), "limits.cores") {
		t.Errorf("a broker that cannot start: %v", err)
	}
}
