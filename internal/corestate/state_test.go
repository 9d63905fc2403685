package corestate

import (
	"bytes"
	"encoding/gob"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/fleetconfig"
)

func TestCorestate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the replicated value")
}

// version returns a configuration with a version number and no items.
func version(number int64) *fleetconfig.State {
	return &fleetconfig.State{Document: fleetconfig.Document{Version: number}}
}

// withNumber returns the value after a NextNumber command.
func withNumber(value any) any {
	GinkgoHelper()
	next, _, err := Coordination(value).Execute(coordination.Command{Operation: coordination.NextNumber, Name: "n"})
	Expect(err).NotTo(HaveOccurred())
	return WithCoordination(value, next)
}

var _ = Describe("the replicated value", func() {
	It("is a configuration alone, as in a build without the service, until the service is used", func() {
		value := Initial()
		Expect(value).To(BeAssignableToTypeOf(&fleetconfig.State{}))
		Expect(Coordination(value).Counts()).To(Equal(coordination.Counts{}))
		value = WithConfiguration(value, version(3))
		Expect(value).To(Equal(version(3)))
		Expect(Configuration(value)).To(Equal(version(3)))
	})

	It("keeps the configuration of an earlier build when the service is used for the first time", func() {
		value := withNumber(version(3))
		Expect(value).To(BeAssignableToTypeOf(&State{}))
		Expect(Configuration(value)).To(Equal(version(3)))
		Expect(Coordination(value).Counts().Numbers).To(Equal(1))
	})

	It("keeps each part when the other changes, and leaves the previous value unchanged", func() {
		first := withNumber(version(3))
		second := WithConfiguration(first, version(4))
		Expect(Coordination(second)).To(BeIdenticalTo(Coordination(first)))
		third := withNumber(second)
		Expect(Configuration(third)).To(BeIdenticalTo(Configuration(second)))
		Expect(Configuration(first)).To(Equal(version(3)))
	})

	It("has an empty configuration and empty tables if its type is unknown", func() {
		Expect(Configuration("other")).To(Equal(&fleetconfig.State{}))
		Expect(Coordination(nil).Counts()).To(Equal(coordination.Counts{}))
	})

	It("has a sequence number of the configuration that operations on the service do not change", func() {
		state := chain.State{Value: Initial()}
		apply := func(value any) uint64 {
			state = chain.State{Seq: state.Seq + 1, Value: value}
			return ConfigurationSeq(state)
		}
		Expect(apply(WithConfiguration(state.Value, version(1)))).To(Equal(uint64(1)))
		Expect(apply(withNumber(state.Value))).To(Equal(uint64(1)))
		Expect(apply(withNumber(state.Value))).To(Equal(uint64(1)))
		Expect(apply(WithConfiguration(state.Value, version(2)))).To(Equal(uint64(2)))
		Expect(apply(WithCoordination(state.Value, Coordination(state.Value)))).To(Equal(uint64(2)), "a command that was rejected")
		Expect(state.Seq).To(Equal(uint64(5)))
	})

	DescribeTable("is decoded equal to what was encoded",
		func(value *State) {
			var buffer bytes.Buffer
			Expect(gob.NewEncoder(&buffer).Encode(value)).To(Succeed())
			var decoded State
			Expect(gob.NewDecoder(&buffer).Decode(&decoded)).To(Succeed())
			Expect(Configuration(&decoded)).To(Equal(value.Configuration))
			Expect(Coordination(&decoded).Counts()).To(Equal(value.Coordination.Counts()))
			Expect(decoded.CoordinationOperations).To(Equal(value.CoordinationOperations))
		},
		Entry("with empty parts", &State{Configuration: &fleetconfig.State{}, Coordination: coordination.Empty()}),
		Entry("with a configuration and a count of operations", &State{Configuration: version(3), Coordination: coordination.Empty(), CoordinationOperations: 7}),
	)
})
