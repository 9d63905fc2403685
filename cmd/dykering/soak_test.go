package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"dykering/internal/lab/history"
	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/soak"
)

// A short soak test: control processes fail one at a time and all at once, while the calls of clients of the coordination
// service and of operators are checked against the rules. `dykering-lab soak` runs longer ones.
func TestControlProcessesKeepTheRulesUnderFaults(t *testing.T) {
	scenario := soak.Scenario{
		Program: localprocess.Program{Command: []string{os.Args[0]}, Env: []string{"BE_DYKERING=1"}},
		Seed:    1, For: 15 * time.Second, Cores: 3, Directory: t.TempDir(),
	}
	report, err := scenario.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	t.Log(report.Summary())
	if t.Failed() {
		t.Log(strings.Join(report.Faults, "\n"))
	}
	// A rule is checked only if calls succeed, so each kind of call must have succeeded at least once.
	for _, operation := range history.Operations() {
		if report.Succeeded(operation) == 0 {
			t.Errorf("no %s succeeded", operation)
		}
	}
}
