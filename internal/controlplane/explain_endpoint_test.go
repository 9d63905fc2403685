package controlplane

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/placement"
)

var _ = Describe("the log of the placement's decisions", func() {
	note := func(l *decisionLog, model, makesRoomFor string) {
		demand := placement.NewDemand()
		demand.Report(time.Second, "proxy", []placement.Sample{{Key: placement.Key{Service: "s", Model: model}, Requests: 3, Unplaced: 1}})
		l.record(time.Second, "s", []placement.Order{{Endpoint: "i-1", Operation: placement.Unload, Model: model, FreesMemoryFor: makesRoomFor}},
			&placement.Input{Demand: demand, Endpoints: []placement.Endpoint{{Models: map[string][]string{model: nil}}, {Models: map[string][]string{model: nil}}}})
	}

	It("tells of the orders for a model and of those that made room for it, with the demand they were given by", func() {
		var l decisionLog
		note(&l, "a", "")
		note(&l, "b", "a")
		note(&l, "b", "")
		found := l.about("a")
		Expect(found).To(HaveLen(2))
		Expect(found[1].Demand.Rate).To(BeNumerically("~", 1, 0.01))
		Expect(found[1].Demand.Unplaced).To(BeTrue())
		Expect(found[1].Copies).To(Equal(2))
	})

	It("keeps the last ones alone", func() {
		var l decisionLog
		note(&l, "first", "")
		for range maxDecisions {
			note(&l, "later", "")
		}
		Expect(l.decisions).To(HaveLen(maxDecisions))
		Expect(l.about("first")).To(BeEmpty())
	})
})
