package coresim

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCoresim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core simulation")
}

// quicklyFound are the flaws that a short search finds. Other flaws need a longer search (dykering-lab control flaws); some of
// those have specific schedules below.
var quicklyFound = []Flaw{
	SendBeforeSync, AckAtHead, EarlyCommit, VoteAfterWipe, RestartBehind, ShortPromise, ShortInstall,
	ReadUnconfirmed, LeaseUnconfirmed, NoTakeoverDelay, ConstantToken, ForgetPromise, RejectUnconfirmed, ForgetApplied, IgnoreBase,
}

var _ = Describe("generated schedules of faults", func() {
	It("violate no guarantee", func() {
		const schedules = 400
		if failure := Search(1, schedules, NoFlaw, nil); failure != nil {
			smallest := Shrink(*failure)
			Fail(smallest.Err.Error() + "\n" + describe(smallest.Schedule))
		}
	})

	for _, flaw := range quicklyFound {
		It("find a planted flaw: "+string(flaw), func() {
			const schedules = 4000
			Expect(Search(1, schedules, flaw, nil)).NotTo(BeNil())
		})
	}
})

// These schedules are difficult for the core, or violated a guarantee in an earlier version.
var _ = DescribeTable("a specific schedule violates no guarantee",
	func(members, failures int, steps ...Fault) {
		schedule := Schedule{Options: Options{Seed: 7, Members: members, MostFailures: failures}, Steps: steps}
		Expect(schedule.Run()).To(Succeed())
	},
	Entry("no fault, three members grow to five", 5, 2),
	Entry("two reconfigurations overlap", 3, 1, Fault{3 * s, Kill, 0, s / 2}, Fault{3*s + 550*ms, Freeze, 1, s}),
	Entry("the old tail is frozen throughout a new view", 3, 1, Fault{3 * s, Freeze, 2, 4 * s}),
	Entry("a member without its disk returns while another is isolated", 5, 2, Fault{3 * s, LoseDisk, 1, s}, Fault{3500 * ms, Isolate, 2, 5 * s}),
	Entry("every member is replaced in turn", 3, 1, Fault{3 * s, Replace, 0, s}, Fault{9 * s, Replace, 1, s}, Fault{15 * s, Replace, 2, s}),
	Entry("the tail's disk stalls, then the head is killed", 5, 2, Fault{3 * s, StallDisk, 4, 3 * s}, Fault{4 * s, Kill, 0, s}),
	Entry("all members are killed, one loses its disk", 3, 1, Fault{3 * s, KillAllLoseDisk, 1, s}),
	Entry("all members are killed repeatedly", 3, 1, Fault{3 * s, KillAll, 0, s / 5}, Fault{4 * s, KillAll, 0, s / 5}, Fault{5 * s, KillAll, 0, s / 5}),
	Entry("the lease holder is frozen and resumes", 3, 1, Fault{3 * s, Freeze, 0, 5 * s}),
	Entry("every member of a core of three becomes the lease holder in turn (found by the search)", 3, 1,
		Fault{2224879015, Freeze, 0, 822162186}, Fault{7636621757, Replace, 1, 873007409}, Fault{12639390806, Freeze, 2, 1139539872}),
	Entry("a member is down while all others are replaced", 5, 2, Fault{3 * s, Kill, 0, 60 * s}, Fault{4 * s, Replace, 1, s},
		Fault{12 * s, Replace, 2, s}, Fault{20 * s, Replace, 3, s}, Fault{28 * s, Replace, 4, s}),
	Entry("a member is isolated for 20 s, and the others are killed when it returns", 3, 1, Fault{3 * s, KillAfterHeal, 0, 20 * s}),
	Entry("a member lags behind, another loses its disk, all others are down", 3, 1, Fault{3 * s, LagThenRecover, 1, 10 * s}),
	Entry("all members are killed repeatedly, as many as tolerated lose their disks", 5, 2,
		Fault{3 * s, KillAllLoseDisks, 0, 2 * s}, Fault{14 * s, KillAllLoseDisks, 2, 2 * s}, Fault{25 * s, KillAllLoseDisks, 4, 2 * s}),
	Entry("two members are replaced as planned, a disk is lost after each replacement", 3, 1, Fault{3 * s, PlannedReplacement, 0, 4500 * ms},
		Fault{8 * s, LoseDisk, 1, s}, Fault{15 * s, PlannedReplacement, 1, 4500 * ms}, Fault{20 * s, LoseDisk, 2, s}),
	Entry("a lease holder restarts within its takeover delay (found by the search)", 3, 1,
		Fault{3257 * ms, DropInbound, 0, 1961 * ms}, Fault{5349 * ms, KillAll, 0, 328 * ms}),
)

// holderReturns makes the first of five members the lease holder again: each of the other members fails once and then moves
// behind it in the chain.
var holderReturns = []Fault{
	{3 * s, Freeze, 0, s}, {9 * s, Kill, 2, s}, {15 * s, Kill, 3, s}, {21 * s, Kill, 4, s}, {27 * s, Kill, 1, s},
}

var _ = Describe("a former lease holder", func() {
	schedule := func(flaw Flaw) Schedule {
		return Schedule{Options: Options{Seed: 7, Members: 5, MostFailures: 2, Flaw: flaw}, Steps: holderReturns}
	}
	It("does not become the holder again shortly after its successor", func() {
		Expect(schedule(NoFlaw).Run()).To(Succeed())
	})
	It("is detected if it becomes the holder again too soon", func() {
		Expect(schedule(NoReturnDelay).Run()).To(MatchError(ContainSubstring("takes turns")))
	})
})

// lossAfterLeave makes a planned replacement, and a disk is lost half a second after it. The search has found the schedule.
var lossAfterLeave = Schedule{Options: Options{Seed: 2442, Members: 3, MostFailures: 1}, Steps: []Fault{
	{10728486587, PlannedReplacement, 2, 3779916678}, {15038872739, LagThenRecover, 2, 3815552117},
}}

// runWithSeeds runs a schedule with several seeds, since the outcome may depend on every random number, and returns the
// violations.
func runWithSeeds(schedule Schedule, flaw Flaw) (violations []error) {
	const seeds = 30
	schedule.Options.Flaw = flaw
	for seed := range uint64(seeds) {
		schedule.Options.Seed = seed + 1
		if err := schedule.Run(); err != nil {
			violations = append(violations, err)
		}
	}
	return violations
}

// lastReplicaLeaves makes a member leave that was one of only two members that had accepted the view without it. The search has
// found the schedule.
var lastReplicaLeaves = Schedule{Options: Options{Members: 3, MostFailures: 1, Busy: true}, Overlap: true, Steps: []Fault{
	{2928364042, DelayInbound, 0, 4796145583},
	{4210839438, PlannedReplacement, 2, 3622145871},
	{5745642602, KillAfterHeal, 1, 1976305551},
	{7523904108, Leave, 0, 3778453804},
}}

var _ = Describe("a leaving member", func() {
	It("waits until enough other members have persisted its operations", func() {
		Expect(runWithSeeds(lastReplicaLeaves, NoFlaw)).To(BeEmpty())
	})
	It("is detected if it stops earlier", func() {
		Expect(runWithSeeds(lastReplicaLeaves, StopBeforeReplicated)).To(ContainElement(MatchError(ContainSubstring("disks hold them all"))))
	})
})

var _ = Describe("five hundred changes", func() {
	options := Options{Seed: 5, Members: 3, MostFailures: 1, Busy: true}
	const changes = 500
	const changesCommittedBy = 25 * s
	It("are committed within the time that the next test assumes", func() {
		sim := NewSimulation(options)
		Expect(sim.Run(changesCommittedBy)).To(Succeed())
		Expect(sim.checker.acks).To(BeNumerically(">", changes))
	})
	It("do not prevent restarted, empty and new members from catching up", func() {
		schedule := Schedule{Options: options, Steps: []Fault{
			{changesCommittedBy, Kill, 0, 3 * s}, {changesCommittedBy + 8*s, LoseDisk, 1, s}, {changesCommittedBy + 15*s, Replace, 2, s}, {changesCommittedBy + 22*s, KillAllLoseDisk, 0, s},
		}}
		Expect(schedule.Run()).To(Succeed())
	})
})

var _ = Describe("a disk lost right after a planned replacement", func() {
	It("leaves a majority, as the departed member is no longer a voter", func() {
		Expect(lossAfterLeave.Run()).To(Succeed())
	})
	It("leaves a majority if another member was down during the departure (found by the search)", func() {
		schedule := Schedule{Options: Options{Seed: 3025829, Members: 3, MostFailures: 1}, Steps: []Fault{
			{2350572828, PlannedReplacement, 2, 5022006002}, {6551872432, LagThenRecover, 1, 4638162964},
		}}
		Expect(schedule.Run()).To(Succeed())
	})
	It("leaves no majority if the departed member is still a voter", func() {
		flawed := lossAfterLeave
		flawed.Options.Flaw = StopAsSurplusVoter
		Expect(flawed.Run()).To(MatchError(ContainSubstring("nothing is acknowledged")))
	})
})

// pongsOfEarlierIncarnation delays the messages to the tail while it restarts. Pongs to pings of its earlier incarnation then
// arrive when the pings of the new incarnation have reached the same nonces.
var pongsOfEarlierIncarnation = Schedule{Options: Options{Seed: 1, Members: 3, MostFailures: 1}, Overlap: true, Steps: []Fault{
	{3 * s, DelayInbound, 2, 5 * s}, {3550 * ms, Kill, 2, 100 * ms},
}}

var _ = Describe("a pong to a ping of an earlier incarnation", func() {
	It("does not allow a restarted tail to answer reads", func() {
		Expect(pongsOfEarlierIncarnation.Run()).To(Succeed())
	})
	It("allows it to return an old state if nonces repeat", func() {
		flawed := pongsOfEarlierIncarnation
		flawed.Options.Flaw = RepeatNonces
		Expect(flawed.Run()).To(MatchError(ContainSubstring("a read at m2 shows")))
	})
})

// readWhileStalled stalls the disk of the tail, so that reads arrive meanwhile, and then kills all members. The search has found
// the schedule.
var readWhileStalled = Schedule{Options: Options{Members: 3, MostFailures: 1}, Overlap: true, Steps: []Fault{
	{4818832250, Leave, 1, 1353999689},
	{4995210845, StallDisk, 0, 449675308},
	{7078925163, StallDisk, 1, 4008094742},
	{7556768366, KillAll, 0, 4709076681},
}}

var _ = Describe("a read at a tail with a stalled disk", func() {
	It("returns only persisted operations", func() {
		Expect(runWithSeeds(readWhileStalled, NoFlaw)).To(BeEmpty())
	})
	It("is detected if it returns operations that are not persisted", func() {
		Expect(runWithSeeds(readWhileStalled, ReadUncommitted)).To(ContainElement(MatchError(ContainSubstring("a read that ended before it began"))))
	})
})

const (
	s  = time.Second
	ms = time.Millisecond
)

func describe(schedule Schedule) string {
	text := ""
	for _, step := range schedule.Steps {
		text += step.String() + "\n"
	}
	return text
}
