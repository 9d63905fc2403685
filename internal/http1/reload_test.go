package http1

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dykering/internal/config"
)

// readyTarget returns a ready endpoint at an address where nothing listens.
func readyTarget(uid string, bootMS int64) target {
	return target{UID: uid, Address: "127.0.0.1:9", Zone: "z", Model: "m", State: "Ready", Weight: 1, BootMS: bootMS}
}

// After SIGHUP the server follows the discovery address in the file, beginning with its full list,
// whatever the revision. Lists of the old discovery are ignored from then on, and requests in flight
// continue. An invalid file changes nothing.
func TestReloadFollowsDiscoveryOfTheFile(t *testing.T) {
	arrived, respond := make(chan bool, 1), make(chan bool)
	a := endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-respond
		fmt.Fprint(w, "a")
	})
	b := endpointServing(t, "s-2", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "b") })
	rg := start(t, 1024, a)
	answered := make(chan string)
	go func() {
		_, body := rg.roundTrip(rg.request("once", 9*time.Second))
		answered <- body
	}()
	<-arrived

	queries := make(chan string, 8)
	newDiscovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.Query().Get("since") == "" {
			json.NewEncoder(w).Encode(endpointList{Rev: 0, Full: true, Targets: []target{b}})
		}
		if r.URL.Query().Get("follow") == "1" {
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}))
	defer newDiscovery.Close()
	defer newDiscovery.CloseClientConnections()
	configText, err := os.ReadFile(rg.file)
	if err != nil {
		t.Fatal(err)
	}
	line7, _ := json.Marshal(endpointList{Rev: 7, Full: true, Targets: []target{a}})
	rg.lists <- string(line7)
	rg.until("the list is applied", func() bool { return rg.stats().Revision == 7 })
	oldAddress := rg.stats().DiscoveryAddress
	os.WriteFile(rg.file, configText[:len(configText)/2], 0o600)
	rg.reloads <- syscall.SIGHUP
	if s := rg.stats(); s.DiscoveryAddress != oldAddress || s.AwaitingFullList {
		t.Error("an invalid file changed the discovery")
	}
	os.WriteFile(rg.file, []byte(strings.Replace(string(configText), oldAddress, newDiscovery.Listener.Addr().String(), 1)), 0o600)
	rg.reloads <- syscall.SIGHUP
	rg.until("the new list is applied", func() bool {
		s := rg.stats()
		return s.Revision == 0 && !s.AwaitingFullList && s.DiscoveryAddress != oldAddress
	})
	for range 2 {
		if query := <-queries; strings.Contains(query, "since=7") {
			t.Errorf("query to the new discovery with a revision of the old one: %q", query)
		}
	}
	if rg.open(1) {
		t.Error("an endpoint that is not in the new list is open")
	}
	line, _ := json.Marshal(endpointList{Rev: 9, Full: true, Targets: []target{a}})
	rg.lists <- string(line)
	if _, body := rg.roundTrip(rg.request("once", 9*time.Second)); body != "b" {
		t.Errorf("served %q", body)
	}
	close(respond)
	if got := <-answered; got != "a" {
		t.Errorf("the request from before the reload got %q", got)
	}
	if rg.stats().Revision != 0 {
		t.Error("a list of the old discovery was applied")
	}
}

// Two consecutive discovery calls hang after others were rejected. The third call must still deliver
// its list within 6 s of the start of the first hung one.
func TestTwoHungDiscoveryCallsLeaveTimeForAThird(t *testing.T) {
	t.Parallel() // the test mostly waits
	const refused, hung = 4, 2
	hungCalls, release := make(chan time.Time, 16), make(chan bool)
	var callCount atomic.Int64
	discovery := startHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.URL.Query().Has("follow") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		switch call := callCount.Add(1); {
		case call <= refused:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case call <= refused+hung:
			hungCalls <- time.Now()
		default:
			io.WriteString(w, `{"rev":2,"all":false,"targets":[{"uid":"s-1","az":"z","model":"m","state":"Gone"}]}`+"\n")
			http.NewResponseController(w).Flush()
		}
		select {
		case <-r.Context().Done():
		case <-release:
		}
	}))
	t.Cleanup(func() {
		close(release)
		discovery.CloseClientConnections()
		discovery.Close()
	})
	rg := startWith(t, 1, 1024, func(c *config.Config) {
		c.Settings.PullDiscovery, c.Settings.DiscoveryInterval = true, 10*time.Second
		c.Discovery = discovery.Listener.Addr().String()
	}, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) {}))
	began := <-hungCalls
	rg.until("the list is applied", func() bool { return len(rg.stats().Endpoints) == 0 })
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("the list was applied after %v, want at most 6 s", took)
	}
	if len(hungCalls) != hung-1 {
		t.Errorf("%d calls hung", len(hungCalls)+1)
	}
}
