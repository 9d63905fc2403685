package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the load ledger", func() {
	It("permits no more loads in any window than the rate limit", func() {
		ledger := NewLoadLedger(5*time.Second, 1.1)
		var started []time.Duration
		for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
			if ledger.Available(at, 2.8) > 0 {
				ledger.RecordStart(at)
				started = append(started, at)
			}
		}
		for i := range started {
			within := 0
			for _, other := range started[i:] {
				if other-started[i] <= 5*time.Second {
					within++
				}
			}
			Expect(within).To(BeNumerically("<=", 14))
		}
		Expect(len(started)).To(BeNumerically(">", 100))
	})

	// maxInWindow returns the maximum number of starts in any window of 5 s.
	maxInWindow := func(started []time.Duration) int {
		maximum := 0
		for _, from := range started {
			within := 0
			for _, at := range started {
				if at >= from && at-from <= 5*time.Second {
					within++
				}
			}
			maximum = max(maximum, within)
		}
		return maximum
	}
	// run records a start whenever the ledger permits a load, in steps of 10 ms from one time until another, and returns the starts.
	run := func(ledger *LoadLedger, from, until time.Duration, loadsPerSecond float64) (started []time.Duration) {
		for at := from; at <= until; at += 10 * time.Millisecond {
			for ledger.Available(at, loadsPerSecond) > 0 {
				ledger.RecordStart(at)
				started = append(started, at)
			}
		}
		return started
	}

	DescribeTable("subtracts the loads that a previous lease holder may have started without reporting them",
		func(loadsPerSecond float64, predecessorFor, unreportedFor, pause time.Duration) {
			predecessor, successor := NewLoadLedger(5*time.Second, 1.1), NewLoadLedger(5*time.Second, 1.1)
			started := run(predecessor, 0, predecessorFor-unreportedFor, loadsPerSecond)
			lastReportAt := predecessorFor - unreportedFor
			for _, age := range predecessor.Ages(lastReportAt) {
				successor.RecordStart(lastReportAt - age)
			}
			started = append(started, run(predecessor, lastReportAt+10*time.Millisecond, predecessorFor, loadsPerSecond)...)
			successor.AssumeUnreported(lastReportAt, predecessorFor, loadsPerSecond)
			started = append(started, run(successor, predecessorFor+pause, predecessorFor+pause+12*time.Second, loadsPerSecond)...)
			Expect(float64(maxInWindow(started))).To(BeNumerically("<=", loadsPerSecond*5*1.1+3))
		},
		Entry("a low rate", 0.1, 7*time.Second, 2*time.Second, time.Second),
		Entry("a moderate rate", 2.8, 7*time.Second, 2*time.Second, time.Second),
		Entry("a high rate", 26.0, 7*time.Second, 2*time.Second, time.Second),
		Entry("a high rate, no report for a whole window", 26.0, 9*time.Second, 5*time.Second, 0*time.Second),
		Entry("a high rate, all loads reported", 26.0, 9*time.Second, 0*time.Second, 0*time.Second),
		Entry("a high rate, from a previous lease holder that has just started", 26.0, 500*time.Millisecond, 400*time.Millisecond, 0*time.Second),
	)

	It("subtracts a full window of loads if the previous lease holder has reported none", func() {
		for _, loadsPerSecond := range []float64{0.1, 2.8, 26} {
			predecessor, successor := NewLoadLedger(5*time.Second, 1.1), NewLoadLedger(5*time.Second, 1.1)
			started := run(predecessor, 0, 5*time.Second, loadsPerSecond)
			successor.AssumeFullWindow(5*time.Second, loadsPerSecond)
			started = append(started, run(successor, 5*time.Second, 15*time.Second, loadsPerSecond)...)
			Expect(float64(maxInWindow(started))).To(BeNumerically("<=", loadsPerSecond*5*1.1+3))
		}
	})

	It("permits loads right after a change of the lease holder if all loads were reported", func() {
		successor := NewLoadLedger(5*time.Second, 1.1)
		for _, started := range run(NewLoadLedger(5*time.Second, 1.1), 0, 8*time.Second, 29) {
			successor.RecordStart(started)
		}
		successor.AssumeUnreported(8*time.Second, 9*time.Second, 29)
		Expect(len(run(successor, 10*time.Second, 12*time.Second, 29))).To(BeNumerically(">", 29))
	})

	It("counts a rescheduled load from its new start", func() {
		ledger := NewLoadLedger(5*time.Second, 1.1)
		ledger.RecordStart(time.Second)
		ledger.Reschedule(time.Second, 3*time.Second)
		Expect(ledger.Ages(7 * time.Second)).To(Equal([]time.Duration{4 * time.Second}))
		Expect(ledger.Ages(9 * time.Second)).To(BeEmpty())
	})
})
