package main

import (
	"os"
	"testing"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/upgrade"
)

// The short form of the laboratory's scenario: a control process is replaced, and again, under changes, requests, orders and
// drains. What an earlier build has stored and sent is read by tests of the packages, from fixtures; `dykering-lab upgrade` plays
// two builds.
func TestRollingUpgradeInShort(t *testing.T) {
	program := localprocess.Program{Command: []string{os.Args[0]}, Env: []string{"BE_DYKERING=1"}}
	scenario := upgrade.Scenario{From: program, To: program, Short: true, Directory: t.TempDir(), Progress: t.Output()}
	report, err := scenario.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if report.Changes == 0 || report.Drains == 0 || report.Loads == 0 || report.Answers[200] == 0 {
		t.Errorf("not all was played: %+v", report)
	}
}
