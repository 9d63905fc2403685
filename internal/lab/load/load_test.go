package load

import (
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// RateAt follows the profile, the number of requests is the integral of the rate, and Check refuses
// invalid profiles.
func TestProfileRatesAndChecks(t *testing.T) {
	s := time.Second
	for _, tc := range []struct {
		p     Profile
		rates []float64 // after 0, 1, … 9 s
		sent  float64
	}{
		{Profile{Kind: Steady, Rate: 50, Lasts: 10 * s}, []float64{50, 50, 50, 50, 50, 50, 50, 50, 50, 50}, 500},
		{Profile{Kind: Ramp, Rate: 10, To: 110, Lasts: 10 * s}, []float64{10, 20, 30, 40, 50, 60, 70, 80, 90, 100}, 600},
		{Profile{Kind: Step, Rate: 10, To: 50, Steps: 5, Lasts: 10 * s}, []float64{10, 10, 20, 20, 30, 30, 40, 40, 50, 50}, 300},
		{Profile{Kind: Spike, Rate: 10, To: 100, Lasts: 10 * s}, []float64{10, 10, 10, 10, 100, 100, 10, 10, 10, 10}, 280},
	} {
		if err := tc.p.Check(); err != nil {
			t.Error(err)
		}
		for i, want := range tc.rates {
			if got := tc.p.RateAt(time.Duration(i) * s); math.Abs(got-want) > 1e-6 {
				t.Errorf("%s after %d s: rate %v, want %v", tc.p.Kind, i, got, want)
			}
		}
		n := 0.0
		for at := 0.0; at < 10; at += 1 / tc.p.RateAt(time.Duration(at*float64(s))) {
			n++
		}
		if math.Abs(n-tc.sent) > 0.05*tc.sent {
			t.Errorf("%s: %v requests, want about %v", tc.p.Kind, n, tc.sent)
		}
	}
	for _, p := range []Profile{
		{Kind: "wave", Rate: 1, Lasts: s},
		{Kind: Steady, Lasts: s},
		{Kind: Ramp, Rate: 1, Lasts: s},
		{Kind: Step, Rate: 1, To: 2, Steps: 1, Lasts: s},
		{Kind: Steady, Rate: math.NaN(), Lasts: s},
		{Kind: Steady, Rate: 1},
	} {
		if p.Check() == nil {
			t.Errorf("Check accepts %+v", p)
		}
	}
}

// Latencies count from the scheduled time. While a server does not answer, a single connection cannot send
// the requests that are due, and their delay has to show in the latencies nevertheless.
func TestLatencyCountsFromScheduledTime(t *testing.T) {
	const stall = 500 * time.Millisecond
	var n atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if n.Add(1) == 20 {
			time.Sleep(stall)
		}
	}))
	defer server.Close()
	l := &Load{
		URL: server.URL, Profile: Profile{Kind: Steady, Rate: 100, Lasts: time.Second}, MaxInFlight: 1000, Conns: 1, Run: "t",
		Classes: []Class{{Name: "read", Share: 1, Method: "GET", Timeout: 5 * time.Second}},
	}
	r, err := l.Play(t.Context())
	if err != nil || r.All.Served != 100 || r.Unsent != 0 {
		t.Fatalf("want 100 served requests and none unsent: error %v, report %+v", err, r)
	}
	// Half of the requests are due during the stall, and wait for half of it on average.
	if r.All.P50 > 450 || r.All.P90 < 300 || r.All.Max < 490 || r.All.Mean < 90 {
		t.Errorf("p50 %v, p90 %v, max %v, mean %v ms", r.All.P50, r.All.P90, r.All.Max, r.All.Mean)
	}
}

// Statuses, missing responses and unsent requests are counted separately.
func TestOutcomesAreCountedByKind(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // net/http notices a departed client only after the body was read
		switch r.Header.Get("X-Lane") {
		case "refused":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "failed":
			w.WriteHeader(http.StatusBadGateway)
		case "lost":
			panic(http.ErrAbortHandler)
		case "slow":
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	class := func(name string) Class {
		return Class{Name: name, Share: 0.2, Method: "POST", Timeout: 300 * time.Millisecond, Body: 10}
	}
	l := &Load{
		URL: server.URL, Profile: Profile{Kind: Steady, Rate: 200, Lasts: time.Second}, MaxInFlight: 30, Poisson: true, Run: "t",
		Classes: []Class{class("served"), class("refused"), class("failed"), class("lost"), class("slow")},
	}
	outcomes := 0
	l.OnOutcome = func(Outcome) { outcomes++ }
	r, err := l.Play(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i, n := range []int{r.Classes[0].Served, r.Classes[1].Refused, r.Classes[2].Failed, r.Classes[3].Lost, r.Classes[4].Lost} {
		if c := r.Classes[i]; n != c.Asked || n == 0 {
			t.Errorf("not all requests of class %s were counted as the expected outcome: %+v", c.Name, c)
		}
	}
	sum := 0
	for _, s := range r.Seconds {
		sum += s.Asked
	}
	if outcomes != r.All.Asked || sum != outcomes || r.Unsent == 0 || len(r.Classes[3].Errors) == 0 {
		t.Errorf("%d outcomes, %d requests in the table of seconds, report %+v", outcomes, sum, r)
	}
}
