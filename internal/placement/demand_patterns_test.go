package placement

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/fleetconfig"
)

var _ = Describe("a plan for sudden or widespread demand", func() {
	It("adds replicas to a model with one replica when its demand grows fivefold", func() {
		demand := NewDemand()
		for i := range 12 {
			demand.Report(now+time.Duration(i)*250*time.Millisecond, "proxy", []Sample{{Key: key("hot", ""), Requests: 1, InFlight: 2, Waiting: 1}})
		}
		at := now + 3*time.Second
		for i := range 4 {
			demand.Report(at+time.Duration(i)*250*time.Millisecond, "proxy", []Sample{{Key: key("hot", ""), Requests: 5, InFlight: 8, Waiting: 6}})
			demand.Estimate(at+time.Duration(i)*250*time.Millisecond, key("hot", ""))
		}
		orders := Plan(at+time.Second, Input{
			Service: "s", Engine: engine, Demand: demand, MaxLoads: 4,
			Endpoints: []Endpoint{endpointWith("a", "hot"), endpointWith("b"), endpointWith("c"), endpointWith("d")},
		})
		Expect(len(orders)).To(BeNumerically(">=", 2))
		Expect(orders).To(HaveEach(HaveField("Model", "hot")))
	})

	It("loads at least 90% of 200 models that are requested once each, under the rate limit", func() {
		const models, loadsPerSecond, endpoints = 200, 2.0, 30
		largeEngine := &fleetconfig.Engine{WeightsSizeMB: 210, LoadsPerS: loadsPerSecond}
		for i := range models {
			largeEngine.Models = append(largeEngine.Models, fleetconfig.Model{Name: fmt.Sprint("m", i), WeightsSizeMB: 70, LoadTimeS: 1})
		}
		fleet := make([]Endpoint, endpoints)
		for i := range fleet {
			fleet[i] = Endpoint{ID: fmt.Sprint("e", i), Models: map[string][]string{}}
		}
		demand, ledger, loaded := NewDemand(), NewLoadLedger(5*time.Second, 1.1), map[string]bool{}
		for step := range models * 2 {
			at := now + time.Duration(step)*250*time.Millisecond
			if step%2 == 0 {
				demand.Report(at, "proxy", []Sample{{Key: key(fmt.Sprint("m", step/2), ""), Requests: 1, Unplaced: 1}})
			}
			for _, order := range Plan(at, Input{
				Service: "s", Engine: largeEngine, Endpoints: fleet, Demand: demand, MaxLoads: ledger.Available(at, loadsPerSecond),
			}) {
				for i := range fleet {
					if fleet[i].ID != order.Endpoint {
						continue
					}
					fleet[i].Apply(order)
					fleet[i].ReservedFor = order.FreesMemoryFor
					if order.Operation == Load {
						fleet[i].ReservedFor = ""
						loaded[order.Model] = true
						ledger.RecordStart(at)
					}
				}
			}
		}
		Expect(len(loaded)).To(BeNumerically(">=", models*9/10))
	})
})
