package coresim

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// inject creates a simulation with scheduled faults. It bypasses the fault budget, which would skip some of them, since it
// counts planned stops as failures.
func inject(options Options, steps ...Fault) *Simulation {
	sim := NewSimulation(options)
	injector := newFaultInjector(sim, true)
	for _, fault := range steps {
		sim.at(fault.At, func() { injector.injectAtMember(fault, injector.target(fault.Member)) })
	}
	return sim
}

var (
	threeMembers = Options{Seed: 7, Members: 3, MostFailures: 1}
	fiveMembers  = Options{Seed: 7, Members: 5, MostFailures: 2}
)

// removeDuringCut removes the head while one member is isolated, so that no majority can agree to the removal. The disk of
// another member is lost before the isolation ends, so the head has the only copy of the operations that were acknowledged
// meanwhile. removeDuringTwoCuts is the same in a core of five members.
var (
	removeDuringCut = []Fault{
		{3 * s, Isolate, 2, 6 * s}, {3800 * ms, Remove, 0, 9 * s}, {6 * s, LoseDisk, 1, s},
	}
	removeDuringTwoCuts = []Fault{
		{3 * s, Isolate, 3, 6 * s}, {3 * s, Isolate, 4, 6 * s}, {3800 * ms, Remove, 0, 9 * s}, {6 * s, LoseDisk, 1, s}, {6 * s, LoseDisk, 2, s},
	}
)

var _ = Describe("a member that leaves while no majority can agree to it", func() {
	// runToEnd runs until every fault is over, and checks that no operation is lost and that the core has recovered.
	runToEnd := func(sim *Simulation) error {
		if err := sim.Run(25 * s); err != nil {
			return err
		}
		return sim.checkEnd()
	}

	DescribeTable("runs until enough other members have its data",
		func(options Options, steps ...Fault) {
			Expect(runToEnd(inject(options, steps...))).To(Succeed())
		},
		Entry("leave during a cut, f = 1", threeMembers, Fault{3 * s, Isolate, 2, 6 * s}, Fault{3800 * ms, Leave, 0, s}),
		Entry("leave during a cut, f = 2", fiveMembers, Fault{3 * s, Isolate, 3, 6 * s}, Fault{3 * s, Isolate, 4, 6 * s}, Fault{3800 * ms, Leave, 0, s}),
		Entry("two leave at once, f = 1", threeMembers, Fault{3 * s, Leave, 0, s}, Fault{3 * s, Leave, 1, s}),
		Entry("three leave at once, f = 2", fiveMembers, Fault{3 * s, Leave, 0, s}, Fault{3 * s, Leave, 1, s}, Fault{3 * s, Leave, 2, s}),
		Entry("leave, then a disk lost within the grace period, f = 1", threeMembers, Fault{3 * s, Leave, 0, s}, Fault{3100 * ms, LoseDisk, 1, s}),
		Entry("leave, then two disks lost within the grace period, f = 2", fiveMembers,
			Fault{3 * s, Leave, 0, s}, Fault{3100 * ms, LoseDisk, 1, s}, Fault{3100 * ms, LoseDisk, 2, s}),
		Entry("all leave at once and restart", threeMembers, Fault{3 * s, Leave, 0, s}, Fault{3 * s, Leave, 1, s}, Fault{3 * s, Leave, 2, s}),
		Entry("leave and kill at the same time", threeMembers, Fault{3 * s, Leave, 0, s}, Fault{3 * s, Kill, 0, s}),
		Entry("removed permanently during a cut, then a disk lost, f = 1", threeMembers, removeDuringCut[0], removeDuringCut[1], removeDuringCut[2]),
		Entry("removed permanently during a cut, then two disks lost, f = 2", fiveMembers,
			removeDuringTwoCuts[0], removeDuringTwoCuts[1], removeDuringTwoCuts[2], removeDuringTwoCuts[3], removeDuringTwoCuts[4]),
	)

	DescribeTable("is detected if it stops without agreement of a majority",
		func(options Options, steps ...Fault) {
			options.Flaw = StopWithoutAgreement
			Expect(runToEnd(inject(options, steps...))).To(MatchError(ContainSubstring("nothing is acknowledged")))
		},
		Entry("f = 1", threeMembers, removeDuringCut[0], removeDuringCut[1], removeDuringCut[2]),
		Entry("f = 2", fiveMembers, removeDuringTwoCuts[0], removeDuringTwoCuts[1], removeDuringTwoCuts[2], removeDuringTwoCuts[3], removeDuringTwoCuts[4]),
	)

	It("does not stop the core from acknowledging operations before it is killed", func() {
		sim := inject(threeMembers, Fault{3 * s, Leave, 0, s}, Fault{3 * s, Isolate, 2, 10 * s})
		Expect(sim.Run(5 * s)).To(Succeed())
		Expect(sim.MakesProgress(s)).To(BeTrue())
	})

	It("transfers the lease before it stops", func() {
		sim := inject(threeMembers, Fault{3 * s, Isolate, 2, 10 * s}, Fault{4 * s, Leave, 0, s})
		Expect(sim.Run(8 * s)).To(Succeed())
		_, holds := sim.machines[1].node.HoldsLease(sim.now)
		Expect(holds).To(BeTrue())
	})

	It("keeps its member identifier when it restarts with its disk", func() {
		sim := inject(threeMembers, Fault{3 * s, Leave, 0, s})
		id := sim.machines[0].node.Self().ID
		Expect(sim.Run(12 * s)).To(Succeed())
		Expect(sim.machines[0].incarnation).To(BeNumerically(">", 1))
		Expect(sim.machines[0].node.Self().ID).To(Equal(id))
		Expect(sim.machines[1].node.View().Voters).To(HaveLen(3))
		Expect(sim.machines[1].node.TolerableLosses(sim.now)).To(Equal(1))
	})

	It("does not count towards the losses that the other members can tolerate", func() {
		sim := inject(threeMembers, Fault{3 * s, Isolate, 2, 10 * s}, Fault{4 * s, Leave, 0, s})
		Expect(sim.Run(3900 * time.Millisecond)).To(Succeed())
		Expect(sim.machines[1].node.TolerableLosses(sim.now)).To(Equal(0))
		Expect(sim.Run(6 * s)).To(Succeed())
		Expect(sim.machines[1].node.TolerableLosses(sim.now)).To(Equal(-1))
	})

	It("stops within a second if all members leave", func() {
		sim := inject(threeMembers, Fault{3 * s, Leave, 0, 20 * s}, Fault{3 * s, Leave, 1, 20 * s}, Fault{3 * s, Leave, 2, 20 * s})
		Expect(sim.Run(4 * s)).To(Succeed())
		Expect(sim.runningMachines()).To(BeEmpty())
	})
})
