package controlplane

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/placement"
)

var _ = Describe("the decision log", func() {
	recordOrder := func(l *decisionLog, model, freesMemoryFor string) {
		demand := placement.NewDemand()
		demand.Report(time.Second, "proxy", []placement.Sample{{Key: placement.Key{Service: "s", Model: model}, Requests: 3, Unplaced: 1}})
		l.record(time.Second, "s", []placement.Order{{Endpoint: "i-1", Operation: placement.Unload, Model: model, FreesMemoryFor: freesMemoryFor}},
			&placement.Input{Demand: demand, Endpoints: []placement.Endpoint{{Models: map[string][]string{model: nil}}, {Models: map[string][]string{model: nil}}}})
	}

	It("returns the orders for a model and those that freed memory for it, with the demand that led to them", func() {
		var l decisionLog
		recordOrder(&l, "a", "")
		recordOrder(&l, "b", "a")
		recordOrder(&l, "b", "")
		found := l.decisionsAbout("a")
		Expect(found).To(HaveLen(2))
		Expect(found[1].Demand.Rate).To(BeNumerically("~", 1, 0.01))
		Expect(found[1].Demand.Unplaced).To(BeTrue())
		Expect(found[1].Copies).To(Equal(2))
	})

	It("keeps the latest decisions up to its bound", func() {
		var l decisionLog
		recordOrder(&l, "first", "")
		for range maxDecisions {
			recordOrder(&l, "later", "")
		}
		Expect(l.decisions).To(HaveLen(maxDecisions))
		Expect(l.decisionsAbout("first")).To(BeEmpty())
	})
})
