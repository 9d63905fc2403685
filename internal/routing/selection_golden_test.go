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

// selectionsFile holds the selections that the code of commit bfb03d8 made for three seeds. A refactoring must not change any
// selection or the order in which random numbers are drawn. After a deliberate change of the policy, run the test with
// DYKERING_UPDATE_GOLDEN=1 to rewrite the file.
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

// workload drives a pool with random operations. The operations are drawn from the generator script, which is separate from
// the pool's own generator.
type workload struct {
	pool     *Pool
	script   *rand.Rand
	now      time.Duration
	inFlight []scriptedCall
}

type scriptedCall struct {
	endpoint *Endpoint
	query    Query
}

// recordSelections runs a workload for a seed and appends one line for each selection to the transcript.
func recordSelections(transcript *strings.Builder, seed uint64) {
	const steps = 400
	w := &workload{pool: NewPool(rand.New(rand.NewPCG(seed, seed+1))), script: rand.New(rand.NewPCG(seed, 99)), now: time.Minute}
	w.pool.HasIdleConnection = func(id string) bool { return strings.HasSuffix(id, "3") }
	w.pool.Update(w.now, scriptedEndpoints(0, 12), true)
	fmt.Fprintf(transcript, "seed %d\n", seed)
	for step := range steps {
		w.now += time.Duration(w.script.IntN(60)) * time.Millisecond
		w.updateEndpoints(step)
		if step%40 == 20 {
			w.setFleetLoads()
		}
		w.pool.Expire(w.now)
		query := w.query()
		endpoint, result := w.pool.Select(w.now, query)
		if result != Selected {
			fmt.Fprintf(transcript, "%d none %d\n", step, result)
			continue
		}
		fmt.Fprintf(transcript, "%d %s in_flight=%d state=%s\n", step, endpoint.ID, endpoint.CallsInFlight(), endpoint.State())
		w.pool.BeginCall(endpoint)
		w.inFlight = append(w.inFlight, scriptedCall{endpoint: endpoint, query: query})
		w.endCalls()
	}
	fmt.Fprintf(transcript, "next random number %d\n", w.pool.random.Uint64())
}

// updateEndpoints adds endpoints at step 100, drains one and deregisters another at step 200, and applies a complete update
// with fewer endpoints at step 300.
func (w *workload) updateEndpoints(step int) {
	switch step {
	case 100:
		w.pool.Update(w.now, scriptedEndpoints(12, 16), false)
	case 200:
		draining, departed := scriptedEndpoints(2, 3), scriptedEndpoints(5, 6)
		draining[0].State = sessions.Draining
		departed[0].State = sessions.Departed
		w.pool.Update(w.now, append(draining, departed...), false)
	case 300:
		w.pool.Update(w.now, scriptedEndpoints(6, 16), true)
	}
}

func (w *workload) setFleetLoads() {
	loads := map[string]FleetLoad{}
	for i := range 16 {
		waiting := w.script.IntN(6)
		loads[scriptedID(i)] = FleetLoad{
			InFlight: waiting + w.script.IntN(10), Waiting: waiting,
			Outcomes: Outcomes{Good: float64(w.script.IntN(20)), Failed: float64(w.script.IntN(3))},
		}
	}
	w.pool.SetFleetLoads(w.now, loads)
}

func (w *workload) query() Query {
	query := Query{Service: "s", Model: fmt.Sprintf("m%d", w.script.IntN(3)), Affinity: uint64(w.script.IntN(2) * (1 + w.script.IntN(5)))}
	if w.script.IntN(10) == 0 {
		query.Adapter = "a0"
	}
	if w.script.IntN(8) == 0 {
		query.Exclude = map[string]bool{scriptedID(w.script.IntN(16)): true}
	}
	return query
}

// endCalls ends random calls until a random number of them is left in flight.
func (w *workload) endCalls() {
	const maxInFlight = 25
	results := []CallResult{
		Succeeded, Succeeded, Succeeded, Succeeded, Succeeded, Failed, RejectedFull, RejectedNotFound, Unreachable, ConnectionLost,
		TimedOut, Canceled,
	}
	for len(w.inFlight) > w.script.IntN(maxInFlight) {
		i := w.script.IntN(len(w.inFlight))
		ended := w.inFlight[i]
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
		result, started := results[w.script.IntN(len(results))], w.script.IntN(2) == 0
		if started {
			w.pool.ResponseStarted(ended.endpoint)
		}
		w.pool.EndCall(w.now, ended.endpoint, ended.query, result, started)
		if w.script.IntN(4) == 0 {
			w.pool.ReportLoad(w.now, ended.endpoint, ReportedLoad{Running: w.script.IntN(12), Waiting: w.script.IntN(4), Slots: 16})
		}
	}
}

func scriptedID(i int) string { return fmt.Sprintf("i-%02d", i) }

// scriptedEndpoints returns the sessions of the endpoints with the numbers from <= i < to. Each endpoint has two of three
// models; every third one also has an adapter.
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
