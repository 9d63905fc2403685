package coordination

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the answer to a watch that catches up", func() {
	const maxValueBytesPerAnswer = 256 << 10

	It("is bounded in bytes, and the next answer continues where it ends", func() {
		const puts = 64
		m := newStateMachine()
		value := strings.Repeat("x", MaxValueBytes-8)
		for i := range puts {
			m.do(put("g.a", fmt.Sprintf("%08d", i)+value))
		}
		for reached := uint64(0); reached < puts; {
			events, upTo, ok := m.EventsAfter("g.", reached, maxEventsPerAnswer)
			Expect(ok).To(BeTrue())
			Expect(events).NotTo(BeEmpty())
			bytes := 0
			for i, event := range events {
				Expect(event.Revision).To(Equal(reached + uint64(i) + 1))
				bytes += len(event.Value)
			}
			Expect(bytes).To(BeNumerically("<=", maxValueBytesPerAnswer))
			Expect(upTo).To(Equal(reached + uint64(len(events))))
			reached = upTo
		}
	})
})
