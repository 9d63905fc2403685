package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"dykering/internal/chain"
	"dykering/internal/fixture"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// compareOutput compares the output of a command with that of released builds.
func compareOutput(t *testing.T, name string, show func(out io.Writer) error) {
	t.Helper()
	var out bytes.Buffer
	if err := show(&out); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	want := fixture.Bytes(t, "testdata/compatibility/"+name+".txt", out.Bytes)
	if out.String() != string(want) {
		t.Errorf("%s: output of released builds\n%s\noutput of this build\n%s", name, want, out.String())
	}
}

func TestStatusIsPrintedAsByReleasedBuilds(t *testing.T) {
	var status protocol.Status
	fixture.JSON(t, "testdata/compatibility/status.json", &status)
	status.Endpoints = map[sessions.State]int{"ready": 11, "silent": 12, "draining": 13, "gone": 14}
	compareOutput(t, "status", func(out io.Writer) error { return showStatus(out, status) })
	status.Sealed, status.Holds = false, false
	compareOutput(t, "status-other", func(out io.Writer) error { return showStatus(out, status) })
}

func TestStatusShowsTolerableLosses(t *testing.T) {
	leaving, unreachable := []chain.MemberID{"a/0"}, []chain.MemberID{"c/0"}
	for want, tolerance := range map[string]protocol.Tolerance{
		"further losses that can be borne: 2":                                   {Losses: 2},
		"no further loss can be borne":                                          {},
		"no further loss can be borne: a/0 leaves":                              {Leaving: leaving},
		"there is no majority without these: a/0 leaves, c/0 cannot be reached": {Losses: -1, Leaving: leaving, Unreachable: unreachable},
	} {
		var out bytes.Buffer
		if err := showStatus(&out, protocol.Status{Tolerance: &tolerance}); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(out.String(), "\n"+want+"\n") {
			t.Errorf("%+v: %q is not in\n%s", tolerance, want, out.String())
		}
	}
}

func TestStatusHasALineOfTheCoordinationService(t *testing.T) {
	var out strings.Builder
	tables := &protocol.CoordinationStatus{Locks: 1, Numbers: 2, Cells: 3, Groups: 4, Events: 5, Bytes: 6, Watches: 7}
	if err := showStatus(&out, protocol.Status{Coordination: tables}); err != nil {
		t.Fatal(err)
	}
	const want = "\ncoordination: 1 locks held, 2 numbers, 3 cells in 4 groups, 5 puts kept, 6 bytes, 7 watches wait\n"
	if !strings.Contains(out.String(), want) {
		t.Errorf("%q is not in\n%s", want, out.String())
	}
}

func TestModelExplanationIsPrintedAsByReleasedBuilds(t *testing.T) {
	var model protocol.Explanation
	fixture.JSON(t, "testdata/compatibility/explain-model.json", &model)
	model.Now = time.Minute
	compareOutput(t, "explain-model", func(out io.Writer) error { return showExplanation(out, model) })
}

// serveFiles starts a server that answers paths with the content of files, and returns its address.
func serveFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := os.ReadFile(files[r.URL.Path])
		if err != nil {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(text)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestExplainedRequestsArePrintedAsByReleasedBuilds(t *testing.T) {
	address := serveFiles(t, map[string]string{"/explain": "testdata/compatibility/explain-requests.json"})
	requests, err := fetchRequestExplanations(address, "")
	if err != nil {
		t.Fatal(err)
	}
	compareOutput(t, "explain-requests", func(out io.Writer) error { return showRequests(out, requests) })
}

// The responses are the fixtures of the fleet's packages.
func TestFleetIsPrintedAsByReleasedBuilds(t *testing.T) {
	address := serveFiles(t, map[string]string{
		"/-/fleet":         "../../internal/fleet/gossip/testdata/compatibility/view.json",
		"/-/fleet/state":   "../../internal/fleet/replication/testdata/compatibility/state.json",
		"/-/fleet/budgets": "../../internal/fleet/budgets/testdata/compatibility/state.json",
	})
	compareOutput(t, "fleet-members", func(out io.Writer) error { return showMembers(out, address) })
	compareOutput(t, "fleet-state", func(out io.Writer) error { return showState(out, address) })
	compareOutput(t, "fleet-budgets", func(out io.Writer) error { return showBudgets(out, address) })
}
