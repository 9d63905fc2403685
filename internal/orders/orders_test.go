package orders

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	"github.com/onsi/ginkgo/v2/dsl/table"
	. "github.com/onsi/gomega"

	"dykering/internal/fleetconfig"
	"dykering/internal/placement"
)

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "orders")
}

const (
	s           = time.Second
	ms          = time.Millisecond
	loadSeconds = 2
	loadTime    = loadSeconds * s
	endpoint    = "i-1"
)

var engine = &fleetconfig.Engine{
	Models:        []fleetconfig.Model{{Name: "a", WeightsSizeMB: 60, LoadTimeS: loadSeconds, AdapterSizeMB: 1}, {Name: "b", WeightsSizeMB: 60, LoadTimeS: loadSeconds}},
	WeightsSizeMB: 100, AdapterSlots: 2, LoadsPerS: 1,
}

var (
	loadA       = placement.Order{Endpoint: endpoint, Operation: placement.Load, Model: "a"}
	loadB       = placement.Order{Endpoint: endpoint, Operation: placement.Load, Model: "b"}
	loadAdapter = placement.Order{Endpoint: endpoint, Operation: placement.Load, Model: "a", Adapter: "a1"}
	unloadA     = placement.Order{Endpoint: endpoint, Operation: placement.Unload, Model: "a", FreesMemoryFor: "b"}
)

var held = Lease{Token: 1, Held: true}

// withModels is the report of an idle endpoint.
func withModels(sequence uint64, models ...string) *Report {
	report := &Report{Models: map[string][]string{}, Sequence: sequence}
	for _, model := range models {
		report.Models[model] = []string{}
	}
	return report
}

// busy is the report of an endpoint that is at work.
func busy(sequence uint64) *Report {
	return &Report{Models: map[string][]string{}, Busy: true, Sequence: sequence}
}

var _ = Describe("an order", func() {
	var machine *Machine
	var ledger *placement.LoadLedger
	var now time.Duration
	BeforeEach(func() {
		ledger = placement.NewLoadLedger(5*s, 1.1)
		machine = New(ledger)
		now = 10 * s
	})

	begin := func(order placement.Order) Output {
		return machine.Begin(now, held, Request{Order: order, Address: "address", Engine: engine})
	}
	advance := func(to time.Duration) Output {
		now = to
		return machine.Advance(now, held)
	}
	report := func(out Output, answer *Report) Output {
		GinkgoHelper()
		Expect(out.Reports).To(HaveLen(1))
		return machine.ReportReceived(now, held, endpoint, out.Reports[0].ID, answer)
	}
	answer := func(out Output, outcome Outcome) Output {
		GinkgoHelper()
		Expect(out.Orders).To(HaveLen(1))
		return machine.OrderAnswered(now, endpoint, out.Orders[0].ID, Answer{Outcome: outcome})
	}
	// post begins an order at an idle endpoint and returns the output that posts it.
	post := func(order placement.Order, loaded ...string) Output {
		GinkgoHelper()
		out := begin(order)
		if order.Operation == placement.Unload {
			out = advance(now + unloadDelay)
		}
		return report(out, withModels(4, loaded...))
	}
	nextDue := func() time.Duration {
		GinkgoHelper()
		due, ok := machine.NextDue()
		Expect(ok).To(BeTrue())
		return due
	}
	described := func() placement.Endpoint {
		e := placement.Endpoint{ID: endpoint, Models: map[string][]string{}}
		machine.CompleteEndpoint(&e)
		return e
	}
	published := Publication{Endpoint: endpoint, Override: OverrideOf(loadA)}
	withdrawn := Publication{Endpoint: endpoint, Withdraw: true}

	It("is posted with the report's sequence and the fencing token, and published once the endpoint has executed it", func() {
		out := post(loadA)
		Expect(out.Orders[0]).To(Equal(OrderCall{ID: 2, Address: "address", Order: loadA, IfRevision: 4, Token: 1}))
		Expect(answer(out, Accepted)).To(BeZero())
		Expect(nextDue()).To(Equal(now + loadTime))
		out = report(advance(now+loadTime), withModels(5, "a"))
		Expect(out).To(Equal(Output{Publications: []Publication{published}, Replan: true}))
		Expect(machine.HasOrder(endpoint)).To(BeFalse())
		Expect(described().Models).To(HaveKey("a"))
	})

	It("is in flight for as long as the endpoint is at work, however long that takes", func() {
		answer(post(loadA), Accepted)
		end := now + 10*loadTime
		for now < end {
			Expect(report(advance(nextDue()), busy(5))).To(BeZero())
			Expect(described()).To(HaveField("OrderInFlight", true))
			Expect(described().Models).To(HaveKey("a"))
		}
		Expect(report(advance(nextDue()), withModels(5, "a")).Publications).To(ConsistOf(published))
	})

	It("is not counted as taking part of the origin's rate between its expected end and when that is noticed to be late", func() {
		answer(post(loadA), Accepted)
		expectedEnd := now + loadTime
		Expect(machine.LoadsAtOrigin(expectedEnd - ms)).To(Equal(1))
		Expect(machine.LoadsAtOrigin(expectedEnd + MaxReportAge)).To(Equal(0))
		Expect(machine.LoadsAtOrigin(expectedEnd + MaxReportAge + minPollInterval + ms)).To(Equal(1))
	})

	It("has the ledger count a load from when it goes out", func() {
		out := begin(loadA)
		now += s
		report(out, withModels(4))
		Expect(ledger.Ages(now)).To(Equal([]time.Duration{0}))
	})

	It("is not posted where it does not fit", func() {
		out := post(loadB, "a")
		Expect(out.Orders).To(BeEmpty())
		Expect(machine.HasOrder(endpoint)).To(BeTrue())
	})

	It("that unloads is published before it is posted", func() {
		out := begin(unloadA)
		Expect(out).To(Equal(Output{Publications: []Publication{{Endpoint: endpoint, Override: OverrideOf(unloadA)}}}))
		Expect(described().ReservedFor).To(Equal("b"))
		out = report(advance(now+unloadDelay), withModels(4, "a"))
		Expect(answer(out, Accepted)).To(BeZero())
		Expect(advance(now + adapterLoadTime)).To(Equal(Output{Replan: true}))
	})

	table.DescribeTable("that is short is not asked after", func(order placement.Order) {
		answer(post(order, "a"), Accepted)
		Expect(advance(now + adapterLoadTime).Reports).To(BeEmpty())
		Expect(machine.HasOrder(endpoint)).To(BeFalse())
	}, table.Entry("adapter", loadAdapter), table.Entry("unload without requests", unloadA))

	Describe("without an answer", func() {
		It("was accepted if the endpoint is at work or has what it loads, also after a long silence", func() {
			Expect(answer(post(loadA), Unknown)).To(BeZero())
			Expect(described().Models).To(HaveKey("a"))
			silence := now + 60*s
			for now < silence {
				Expect(report(advance(nextDue()), nil)).To(BeZero())
				Expect(described()).To(HaveField("OrderInFlight", true))
				Expect(described().Models).NotTo(HaveKey("a"), "requests may wait for it")
				Expect(begin(loadB)).To(BeZero())
			}
			Expect(report(advance(nextDue()), busy(5))).To(BeZero())
			Expect(described().Models).To(HaveKey("a"))
			Expect(report(advance(nextDue()), withModels(5, "a")).Publications).To(ConsistOf(published))
		})

		It("was not accepted if the endpoint is idle without what it loads", func() {
			answer(post(loadA), Unknown)
			Expect(nextDue()).To(Equal(now+MaxReportAge), "an earlier report may be older than the order")
			out := report(advance(nextDue()), withModels(4))
			Expect(out).To(Equal(Output{Publications: []Publication{withdrawn}, Replan: true}))
			Expect(begin(loadA).Orders).To(HaveLen(1))
		})

		It("ends with the endpoint's session", func() {
			answer(post(loadA), Unknown)
			machine.Retain(func(string) bool { return false })
			Expect(machine.HasOrder(endpoint)).To(BeFalse())
		})
	})

	It("is retried while the order before it is just ending", func() {
		out := post(loadA)
		for range maxConflictRetries {
			Expect(answer(out, Conflict)).To(BeZero())
			out = advance(now + conflictBackoff)
		}
		Expect(answer(out, Conflict)).To(Equal(Output{
			Publications: []Publication{withdrawn}, Refusals: []Refusal{{Endpoint: endpoint}}, Replan: true,
		}))
	})

	It("that was refused keeps the endpoint from the next one until it reports to be idle", func() {
		answer(post(loadA), Refused)
		Expect(described().Models).NotTo(HaveKey("a"))
		Expect(report(advance(nextDue()), busy(5))).To(BeZero())
		Expect(begin(loadA)).To(BeZero())
		Expect(report(advance(nextDue()), withModels(5, "b"))).To(Equal(Output{Replan: true}))
		Expect(described().Models).To(HaveKey("b"))
		Expect(begin(unloadA).Publications).To(HaveLen(1))
	})

	Describe("and the lease", func() {
		table.DescribeTable("is not posted without the lease that it was planned under",
			func(lease Lease) {
				out := begin(loadA)
				out = machine.ReportReceived(now, lease, endpoint, out.Reports[0].ID, withModels(4))
				Expect(out.Orders).To(BeEmpty())
			},
			table.Entry("lost", Lease{Token: 1}), table.Entry("of a later token", Lease{Token: 2, Held: true}),
		)

		It("an answer that is late for a new lease changes nothing", func() {
			out := post(loadA)
			machine.Reset(now, ledger, nil)
			Expect(answer(out, Accepted)).To(BeZero())
			second := post(loadB)
			Expect(answer(out, Accepted)).To(BeZero())
			Expect(second.Orders[0].ID).NotTo(Equal(out.Orders[0].ID))
			Expect(machine.tasks[endpoint].phase).To(Equal(posting))
		})

		table.DescribeTable("an order of the previous holder is asked after",
			func(order placement.Order, found *Report, publication Publication) {
				machine.Reset(now, ledger, []InFlight{{Order: order, Address: "address"}})
				Expect(described()).To(HaveField("OrderInFlight", true))
				Expect(report(advance(now), busy(7))).To(BeZero())
				Expect(begin(loadB)).To(BeZero())
				Expect(report(advance(nextDue()), found)).To(Equal(Output{Publications: []Publication{publication}, Replan: true}))
			},
			table.Entry("and finished", loadA, withModels(7, "a"), published),
			table.Entry("and undone", loadA, withModels(7), withdrawn),
			table.Entry("an unload that was published and not sent", unloadA, withModels(7, "a"), withdrawn),
		)
	})
})
