package main

import (
	"os"
	"testing"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/systemdemo"
)

// The demo runs the whole system with this program as its processes. It keeps its guarantees when the head of the chain fails.
func TestSystemDemo(t *testing.T) {
	demo := systemdemo.Demo{
		Program:   localprocess.Program{Command: []string{os.Args[0]}, Env: []string{"BE_DYKERING=1"}},
		Directory: t.TempDir(), Out: t.Output(),
	}
	report, err := demo.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if report.Served == 0 || report.Changes == 0 || !report.Coordination {
		t.Errorf("the demo is incomplete: %+v", report)
	}
}
