package controlplane

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
)

var _ = Describe("the admission of coordination calls", func() {
	var admission *callAdmission
	beginMany := func(caller string, calls int) {
		GinkgoHelper()
		for range calls {
			Expect(admission.begin(caller)).To(Succeed())
		}
	}
	isRejected := func(caller string) bool {
		return errkind.KindOf(admission.begin(caller)) == errkind.RateLimited
	}
	BeforeEach(func() { admission = newCallAdmission() })

	It("admits other callers when one caller has reached its limit", func() {
		beginMany("a", maxCallsPerCaller)
		Expect(isRejected("a")).To(BeTrue())
		beginMany("b", maxCallsPerCaller)
	})

	It("rejects calls beyond the total limit, and admits calls again once others have ended", func() {
		for _, caller := range []string{"a", "b", "c", "d"} {
			beginMany(caller, maxCallsPerCaller)
		}
		Expect(isRejected("e")).To(BeTrue())
		admission.end("a")
		beginMany("e", 1)
	})

	It("rejects calls during a shutdown, and is idle once the calls in progress have ended", func() {
		beginMany("a", 1)
		admission.stop()
		Expect(errkind.KindOf(admission.begin("b"))).To(Equal(errkind.NotReady))
		Expect(admission.isIdle()).To(BeFalse())
		admission.end("a")
		Expect(admission.isIdle()).To(BeTrue())
	})

	It("keeps no entry for a caller whose calls have ended", func() {
		beginMany("a", 2)
		admission.end("a")
		admission.end("a")
		Expect(admission.byCaller).To(BeEmpty())
		Expect(admission.total).To(BeZero())
	})
})
