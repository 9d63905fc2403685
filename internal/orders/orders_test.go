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
	Models: []fleetconfig.Model{
		{Name: "a", WeightsSizeMB: 60, LoadTimeS: loadSeconds, AdapterSizeMB: 1},
		{Name: "b", WeightsSizeMB: 60, LoadTimeS: loadSeconds},
	},
	WeightsSizeMB: 100, AdapterSlots: 2, LoadsPerS: 1,
}

var (
	loadA       = placement.Order{Endpoint: endpoint, Operation: placement.Load, Model: "a"}
	loadB       = placement.Order{Endpoint: endpoint, Operation: placement.Load, Model: "b"}
	loadAdapter = placement.Order{Endpoint: endpoint, Operation: placement.Load, Model: "a", Adapter: "a1"}
	unloadA     = placement.Order{Endpoint: endpoint, Operation: placement.Unload, Model: "a", FreesMemoryFor: "b"}
)

var held = Lease{Token: 1, Held: true}

// withModels returns the report of an idle endpoint with the given models.
func withModels(sequence uint64, models ...string) *Report {
	report := &Report{Models: map[string][]string{}, Sequence: sequence}
	for _, model := range models {
		report.Models[model] = []string{}
	}
	return report
}

// busy returns the report of an endpoint that is executing an order.
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

	It("is in flight while the endpoint reports to be busy, however long that takes", func() {
		answer(post(loadA), Accepted)
		end := now + 10*loadTime
		for now < end {
			Expect(report(advance(nextDue()), busy(5))).To(BeZero())
			Expect(described()).To(HaveField("OrderInFlight", true))
			Expect(described().Models).To(HaveKey("a"))
		}
		Expect(report(advance(nextDue()), withModels(5, "a")).Publications).To(ConsistOf(published))
	})

	It("does not count against the store's capacity between its expected end and the time at which it is late", func() {
		answer(post(loadA), Accepted)
		expectedEnd := now + loadTime
		Expect(machine.LoadsAtOrigin(expectedEnd - ms)).To(Equal(1))
		Expect(machine.LoadsAtOrigin(expectedEnd + MaxReportAge)).To(Equal(0))
		Expect(machine.LoadsAtOrigin(expectedEnd + MaxReportAge + minPollInterval + ms)).To(Equal(1))
	})

	It("counts in the ledger from the time at which it is posted", func() {
		out := begin(loadA)
		now += s
		report(out, withModels(4))
		Expect(ledger.Ages(now)).To(Equal([]time.Duration{0}))
	})

	It("is not posted if it does not fit the endpoint", func() {
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

	table.DescribeTable("that is normally short ends without a report", func(order placement.Order) {
		answer(post(order, "a"), Accepted)
		Expect(advance(now + adapterLoadTime).Reports).To(BeEmpty())
		Expect(machine.HasOrder(endpoint)).To(BeFalse())
	}, table.Entry("adapter", loadAdapter), table.Entry("unload without requests", unloadA))

	Describe("whose call is not answered", func() {
		It("was accepted if the endpoint reports to be busy or to have the model, also after a long time without reports", func() {
			Expect(answer(post(loadA), Unknown)).To(BeZero())
			Expect(described().Models).To(HaveKey("a"))
			reportsFailUntil := now + 60*s
			for now < reportsFailUntil {
				Expect(report(advance(nextDue()), nil)).To(BeZero())
				Expect(described()).To(HaveField("OrderInFlight", true))
				Expect(described().Models).NotTo(HaveKey("a"), "requests may wait for the model")
				Expect(begin(loadB)).To(BeZero())
			}
			Expect(report(advance(nextDue()), busy(5))).To(BeZero())
			Expect(described().Models).To(HaveKey("a"))
			Expect(report(advance(nextDue()), withModels(5, "a")).Publications).To(ConsistOf(published))
		})

		It("was not accepted if the endpoint is idle without the model", func() {
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

	It("is retried after conflicts up to maxConflictRetries times", func() {
		out := post(loadA)
		for range maxConflictRetries {
			Expect(answer(out, Conflict)).To(BeZero())
			out = advance(now + conflictBackoff)
		}
		Expect(answer(out, Conflict)).To(Equal(Output{
			Publications: []Publication{withdrawn}, Refusals: []Refusal{{Endpoint: endpoint}}, Replan: true,
		}))
	})

	It("that was refused prevents other orders until the endpoint reports to be idle", func() {
		answer(post(loadA), Refused)
		Expect(described().Models).NotTo(HaveKey("a"))
		Expect(report(advance(nextDue()), busy(5))).To(BeZero())
		Expect(begin(loadA)).To(BeZero())
		Expect(report(advance(nextDue()), withModels(5, "b"))).To(Equal(Output{Replan: true}))
		Expect(described().Models).To(HaveKey("b"))
		Expect(begin(unloadA).Publications).To(HaveLen(1))
	})

	Describe("under a changed lease", func() {
		table.DescribeTable("is not posted without the lease that it was planned under",
			func(lease Lease) {
				out := begin(loadA)
				out = machine.ReportReceived(now, lease, endpoint, out.Reports[0].ID, withModels(4))
				Expect(out.Orders).To(BeEmpty())
			},
			table.Entry("a lost lease", Lease{Token: 1}), table.Entry("a lease with a later token", Lease{Token: 2, Held: true}),
		)

		It("ignores an answer to a call of the previous lease", func() {
			out := post(loadA)
			machine.Reset(now, ledger, nil)
			Expect(answer(out, Accepted)).To(BeZero())
			second := post(loadB)
			Expect(answer(out, Accepted)).To(BeZero())
			Expect(second.Orders[0].ID).NotTo(Equal(out.Orders[0].ID))
			Expect(machine.tasks[endpoint].phase).To(Equal(posting))
		})

		table.DescribeTable("that is inherited from the previous holder ends by a report",
			func(order placement.Order, found *Report, publication Publication) {
				machine.Reset(now, ledger, []InFlight{{Order: order, Address: "address"}})
				Expect(described()).To(HaveField("OrderInFlight", true))
				Expect(report(advance(now), busy(7))).To(BeZero())
				Expect(begin(loadB)).To(BeZero())
				Expect(report(advance(nextDue()), found)).To(Equal(Output{Publications: []Publication{publication}, Replan: true}))
			},
			table.Entry("a load that was executed", loadA, withModels(7, "a"), published),
			table.Entry("a load that was not executed", loadA, withModels(7), withdrawn),
			table.Entry("an unload that was published and not posted", unloadA, withModels(7, "a"), withdrawn),
		)
	})
})
