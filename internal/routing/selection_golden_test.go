package routing

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/sessions"
)

// selectionsFile holds the selections that the code of commit bfb03d8 made for goldenSeeds. A refactoring must neither
// change a selection nor draw random numbers in another order. Set DYKERING_UPDATE_GOLDEN=1 to write the file anew after a
// deliberate change of the policy.
const selectionsFile = "testdata/selections.golden"

var _ = Describe("endpoint selection", func() {
	It("makes the same selections as the recorded code for the same seeds", func() {
		var transcript strings.Builder
		for _, seed := range []uint64{1, 22, 333} {
			recordSelections(&transcript, seed)
		}
		if os.Getenv("DYKERING_UPDATE_GOLDEN") == "1" {
			Expect(os.WriteFile(selectionsFile, []byte(transcript.String()), 0o644)).To(Succeed())
		}
		recorded, err := os.ReadFile(selectionsFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Split(transcript.String(), "\n")).To(Equal(strings.Split(string(recorded), "\n")))
	})
})

// recordSelections runs a scripted workload against a pool and writes each selection on a line. The script's own random
// numbers come from another generator than the pool's.
func recordSelections(transcript *strings.Builder, seed uint64) {
	const steps, mostInFlight = 400, 25
	type call struct {
		endpoint *Endpoint
		query    Query
	}
	script := rand.New(rand.NewPCG(seed, 99))
	pool := NewPool(rand.New(rand.NewPCG(seed, seed+1)))
	pool.HasIdleConnection = func(id string) bool { return strings.HasSuffix(id, "3") }
	results := []CallResult{Succeeded, Succeeded, Succeeded, Succeeded, Succeeded, Failed, RejectedFull, RejectedNotFound, Unreachable, ConnectionLost, TimedOut, Canceled}
	var inFlight []call
	now := time.Minute
	pool.Update(now, scriptedEndpoints(0, 12), true)
	fmt.Fprintf(transcript, "seed %d\n", seed)
	for step := range steps {
		now += time.Duration(script.IntN(60)) * time.Millisecond
		switch step {
		case 100:
			pool.Update(now, scriptedEndpoints(12, 16), false)
		case 200:
			draining := scriptedEndpoints(2, 3)
			draining[0].State = sessions.Draining
			departed := scriptedEndpoints(5, 6)
			departed[0].State = sessions.Departed
			pool.Update(now, append(draining, departed...), false)
		case 300:
			pool.Update(now, scriptedEndpoints(6, 16), true)
		}
		if step%40 == 20 {
			loads := map[string]FleetLoad{}
			for i := range 16 {
				waiting := script.IntN(6)
				loads[scriptedID(i)] = FleetLoad{InFlight: waiting + script.IntN(10), Waiting: waiting,
					Outcomes: Outcomes{Good: float64(script.IntN(20)), Failed: float64(script.IntN(3))}}
			}
			pool.SetFleetLoads(now, loads)
		}
		pool.Expire(now)
		query := Query{Service: "s", Model: fmt.Sprintf("m%d", script.IntN(3)), Affinity: uint64(script.IntN(2) * (1 + script.IntN(5)))}
		if script.IntN(10) == 0 {
			query.Adapter = "a0"
		}
		if script.IntN(8) == 0 {
			query.Exclude = map[string]bool{scriptedID(script.IntN(16)): true}
		}
		endpoint, result := pool.Select(now, query)
		if result != Selected {
			fmt.Fprintf(transcript, "%d none %d\n", step, result)
			continue
		}
		fmt.Fprintf(transcript, "%d %s in_flight=%d state=%s\n", step, endpoint.ID, endpoint.CallsInFlight(), endpoint.State())
		pool.BeginCall(endpoint)
		inFlight = append(inFlight, call{endpoint: endpoint, query: query})
		for len(inFlight) > script.IntN(mostInFlight) {
			i := script.IntN(len(inFlight))
			ended := inFlight[i]
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
			result, answered := results[script.IntN(len(results))], script.IntN(2) == 0
			if answered {
				pool.ResponseStarted(ended.endpoint)
			}
			pool.EndCall(now, ended.endpoint, ended.query, result, answered)
			if script.IntN(4) == 0 {
				pool.ReportLoad(now, ended.endpoint, ReportedLoad{Running: script.IntN(12), Waiting: script.IntN(4), Slots: 16})
			}
		}
	}
	fmt.Fprintf(transcript, "next random number %d\n", pool.random.Uint64())
}

func scriptedID(i int) string { return fmt.Sprintf("i-%02d", i) }

// scriptedEndpoints has the endpoints from one number up to another. Each holds two of three models, each third one an
// adapter.
func scriptedEndpoints(from, to int) []sessions.Endpoint {
	var endpoints []sessions.Endpoint
	for i := from; i < to; i++ {
		endpoint := session(scriptedID(i), fmt.Sprintf("m%d", i%3), fmt.Sprintf("m%d", (i+1)%3))
		if i%3 == 0 {
			endpoint.Heartbeat.Models[0].Adapters = []string{"a0"}
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
