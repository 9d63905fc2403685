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

// A short soak: control processes are lost one at a time and all at once, and clients of the coordination service and operators see
// no rule broken. `dykering-lab soak` plays longer ones.
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
	// Each kind of call must have succeeded, or nothing was checked.
	for _, operation := range history.Operations() {
		if report.Succeeded(operation) == 0 {
			t.Errorf("no %s succeeded", operation)
		}
	}
}
