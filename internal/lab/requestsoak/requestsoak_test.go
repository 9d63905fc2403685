package requestsoak

import (
	"os"
	"testing"
	"time"

	"dykering/internal/lab/localprocess"
	"dykering/internal/roles"
)

// roleVariable makes the test binary run the role that its last argument names, as the program does.
const roleVariable = "REQUESTSOAK_ROLE"

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) == "" {
		os.Exit(m.Run())
	}
	run := roles.RunProxy
	if os.Args[len(os.Args)-1] == localprocess.Control {
		run = roles.RunControl
	}
	if run() != nil {
		os.Exit(1)
	}
}

// TWICE and REFUSED (issues 71 and 77): requests that may run once ran twice, or ran after a promise that they had not run, when
// endpoints without room sent surplus responses, or ran long requests before they read the bodies. ORDER (issue 77): streams
// without a length that were cut within an event ended as complete. `dykering-lab request-soak` plays other seeds and sizes.
func TestRequestsRunOnceAndNotAfterARefusalUnderFaults(t *testing.T) {
	scenario := Scenario{
		Program: localprocess.Program{Command: []string{os.Args[0]}, Env: []string{roleVariable + "=1"}},
		Seed:    1, For: 60 * time.Second, Proxies: 6, Clients: 120, Directory: t.TempDir(),
	}
	report, err := scenario.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	t.Log(report.Summary())
	// The rules are checked only if requests are served, rejected by endpoints and repeated by their connections.
	if len(report.History.Runs) == 0 || report.Changes == 0 {
		t.Errorf("%d runs, %d changes", len(report.History.Runs), report.Changes)
	}
}
