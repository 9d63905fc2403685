package main

import (
	"os"
	"testing"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/upgrade"
)

// A short form of the upgrade scenario: a control process is replaced twice under configuration changes, requests, orders and
// drains. Both processes are of this build; `dykering-lab upgrade` runs the scenario with two builds. The fixtures in the
// packages' tests cover data that an earlier build stored or sent.
func TestRollingUpgradeInShort(t *testing.T) {
	program := localprocess.Program{Command: []string{os.Args[0]}, Env: []string{"BE_DYKERING=1"}}
	scenario := upgrade.Scenario{From: program, To: program, Short: true, Directory: t.TempDir(), Progress: t.Output()}
	report, err := scenario.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if report.Changes == 0 || report.Drains == 0 || report.Loads == 0 || report.Answers[200] == 0 {
		t.Errorf("the scenario is incomplete: %+v", report)
	}
}
