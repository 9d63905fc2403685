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

func ready(uid string, bootMS int64) target {
	return target{UID: uid, Address: "127.0.0.1:9", Zone: "z", Model: "m", State: "Ready", Weight: 1, BootMS: bootMS}
}

// After SIGHUP the discovery that the file names is followed from its full list on, whatever its
// revision; nothing of the old one counts any more, and requests in flight go on. A file that
// cannot be used changes nothing.
func TestReloadFollowsDiscoveryOfTheFile(t *testing.T) {
	came, serve := make(chan bool, 1), make(chan bool)
	a := endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		came <- true
		<-serve
		fmt.Fprint(w, "a")
	})
	b := endpointServing(t, "s-2", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "b") })
	rg := start(t, 1024, a)
	answered := make(chan string)
	go func() {
		_, body := rg.ask(rg.request("once", 9*time.Second))
		answered <- body
	}()
	<-came

	asked := make(chan string, 8)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		if r.URL.Query().Get("since") == "" {
			json.NewEncoder(w).Encode(endpointList{Rev: 0, Full: true, Targets: []target{b}})
		}
		if r.URL.Query().Get("follow") == "1" {
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}))
	defer other.Close()
	defer other.CloseClientConnections()
	good, err := os.ReadFile(rg.file)
	if err != nil {
		t.Fatal(err)
	}
	line7, _ := json.Marshal(endpointList{Rev: 7, Full: true, Targets: []target{a}})
	rg.lists <- string(line7)
	rg.until("its list is taken in", func() bool { return rg.stats().Revision == 7 })
	was := rg.stats().DiscoveryAddress
	os.WriteFile(rg.file, good[:len(good)/2], 0o600)
	rg.reloads <- syscall.SIGHUP
	if s := rg.stats(); s.DiscoveryAddress != was || s.AwaitingFullList {
		t.Error("a broken file had an effect")
	}
	os.WriteFile(rg.file, []byte(strings.Replace(string(good), was, other.Listener.Addr().String(), 1)), 0o600)
	rg.reloads <- syscall.SIGHUP
	rg.until("the new list is taken in", func() bool {
		s := rg.stats()
		return s.Revision == 0 && !s.AwaitingFullList && s.DiscoveryAddress != was
	})
	for range 2 {
		if query := <-asked; strings.Contains(query, "since=7") {
			t.Errorf("asked the new discovery for changes to the old one's list: %q", query)
		}
	}
	if rg.open(1) {
		t.Error("an endpoint that the new list lacks is open")
	}
	line, _ := json.Marshal(endpointList{Rev: 9, Full: true, Targets: []target{a}})
	rg.lists <- string(line)
	if _, body := rg.ask(rg.request("once", 9*time.Second)); body != "b" {
		t.Errorf("served %q", body)
	}
	close(serve)
	if got := <-answered; got != "a" {
		t.Errorf("the request that was taken before got %q", got)
	}
	if rg.stats().Revision != 0 {
		t.Error("the old discovery was heard")
	}
}

// Two calls of discovery in a row that hang, after others were refused, leave time for a third: its
// list is known within the operators' 6 s of the begin of the first.
func TestTwoHungDiscoveryCallsLeaveTimeForAThird(t *testing.T) {
	t.Parallel() // it takes its time, and little else
	const refused, hung = 4, 2
	calls, over := make(chan time.Time, 16), make(chan bool)
	var n atomic.Int64
	discovery := serverAt(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.URL.Query().Has("follow") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		switch k := n.Add(1); {
		case k <= refused:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case k <= refused+hung:
			calls <- time.Now()
		default:
			io.WriteString(w, `{"rev":2,"all":false,"targets":[{"uid":"s-1","az":"z","model":"m","state":"Gone"}]}`+"\n")
			http.NewResponseController(w).Flush()
		}
		select {
		case <-r.Context().Done():
		case <-over:
		}
	}))
	t.Cleanup(func() {
		close(over)
		discovery.CloseClientConnections()
		discovery.Close()
	})
	rg := startWith(t, 1, 1024, func(c *config.Config) {
		c.Settings.PullDiscovery, c.Settings.DiscoveryInterval = true, 10*time.Second
		c.Discovery = discovery.Listener.Addr().String()
	}, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) {}))
	began := <-calls
	rg.until("the list is heard", func() bool { return len(rg.stats().Endpoints) == 0 })
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("after %v", took)
	}
	if len(calls) != hung-1 {
		t.Errorf("%d calls hung", len(calls)+1)
	}
}
