package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the retry budget", func() {
	It("allows a ratio of the requests plus the proxy's share of the slack", func() {
		budget := NewRetryBudget(10*time.Second, 0.2, 50)
		budget.SetProxies(5)
		for range 100 {
			budget.CountRequest(0, "s")
		}
		allowed := 0
		for budget.AllowRetry(0, "s") {
			allowed++
		}
		Expect(allowed).To(BeNumerically("<=", 30))
		Expect(allowed).To(BeNumerically(">", 15))
	})

	It("allows retries again when the window has advanced", func() {
		budget := NewRetryBudget(10*time.Second, 0, 10)
		budget.SetProxies(1)
		for budget.AllowRetry(0, "s") {
		}
		Expect(budget.AllowRetry(9*time.Second, "s")).To(BeFalse())
		Expect(budget.AllowRetry(12*time.Second, "s")).To(BeTrue())
	})

	It("has no slack while the number of proxies is not known", func() {
		budget := NewRetryBudget(10*time.Second, 0, 1000)
		Expect(budget.AllowRetry(0, "s")).To(BeFalse())
	})
})
