package dataplane

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/protocol"
)

var _ = Describe("the control sidecars that streams may be had from", func() {
	var sidecars *controlSidecars
	BeforeEach(func() {
		sidecars = newControlSidecars("z1", []string{"a", "b"})
		sidecars.learn([]protocol.ControlProcess{{Address: "a", Zone: "z2"}, {Address: "b", Zone: "z1"}, {Address: "c"}, {Address: "d", Zone: "z1"}})
	})

	It("are tried in the own zone first", func() {
		for range 20 {
			order := sidecars.inOrder()
			Expect(order).To(HaveLen(4))
			Expect([]string{order[0].Address, order[1].Address}).To(ConsistOf("b", "d"))
		}
	})

	It("are left for one of the own zone, not for one whose zone is not known", func() {
		Expect(sidecars.moves("a")).To(BeTrue())
		Expect(sidecars.moves("c")).To(BeTrue())
		Expect(sidecars.moves("b")).To(BeFalse())
		sidecars.learn([]protocol.ControlProcess{{Address: "a", Zone: "z2"}, {Address: "b"}})
		Expect(sidecars.moves("a")).To(BeFalse(), "none of the own zone can be reached")
	})

	It("are left more and more rarely while none of the own zone serves", func() {
		Expect(sidecars.stay).To(Equal(firstStay))
		sidecars.ended("a", true)
		Expect(sidecars.stay).To(Equal(2 * firstStay))
		sidecars.ended("a", false)
		Expect(sidecars.stay).To(Equal(2*firstStay), "it broke by itself")
		for range 20 {
			sidecars.ended("a", true)
		}
		Expect(sidecars.stay).To(Equal(mostStay))
		sidecars.ended("b", false)
		Expect(sidecars.stay).To(Equal(firstStay))
	})

	It("keep those that are known where none is named, and take seeds on up to a bound", func() {
		sidecars.learn(nil)
		Expect(sidecars.known).To(HaveLen(4))
		sidecars.add([]string{"a", "e"})
		Expect(sidecars.known).To(HaveLen(5))
		for i := range 2 * mostControlSidecars {
			sidecars.add([]string{fmt.Sprint("seed-", i)})
		}
		Expect(sidecars.known).To(HaveLen(mostControlSidecars))
	})
})
