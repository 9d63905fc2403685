package controlplane

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/placement"
)

var _ = Describe("the log of the placement's decisions", func() {
	note := func(l *decisionLog, model, makesRoomFor string) {
		l.note(time.Second, placement.Order{Endpoint: "i-1", Operation: placement.Unloading, Model: model, For: makesRoomFor}, "s",
			placement.Need{Rate: 3, Waiting: 2, Pressure: 1.5, Unplaced: true}, 2)
	}

	It("tells of the orders for a model and of those that made room for it, with the demand they were given by", func() {
		var l decisionLog
		note(&l, "a", "")
		note(&l, "b", "a")
		note(&l, "b", "")
		found := l.about("a")
		Expect(found).To(HaveLen(2))
		Expect(found[1].Demand.Pressure).To(Equal(1.5))
		Expect(found[1].Copies).To(Equal(2))
	})

	It("keeps the last ones alone", func() {
		var l decisionLog
		note(&l, "first", "")
		for range mostDecisions {
			note(&l, "later", "")
		}
		Expect(l.decisions).To(HaveLen(mostDecisions))
		Expect(l.about("first")).To(BeEmpty())
	})
})
