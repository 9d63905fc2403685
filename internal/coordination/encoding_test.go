package coordination

import (
	"bytes"
	"encoding/gob"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func encodeStored(stored storedState) []byte {
	GinkgoHelper()
	var buffer bytes.Buffer
	Expect(gob.NewEncoder(&buffer).Encode(stored)).To(Succeed())
	return buffer.Bytes()
}

var _ = Describe("the stored form", func() {
	It("is the same inside other values", func() {
		type holder struct{ State *State }
		var buffer bytes.Buffer
		Expect(gob.NewEncoder(&buffer).Encode(holder{seedState()})).To(Succeed())
		var restored holder
		Expect(gob.NewDecoder(&buffer).Decode(&restored)).To(Succeed())
		Expect(restored.State.GobEncode()).To(Equal(encodeStored(seedState().stored())))
	})

	DescribeTable("is rejected if no state can have it",
		func(stored storedState, reason string) {
			state := seedState()
			Expect(state.GobDecode(encodeStored(stored))).To(MatchError(ContainSubstring(reason)))
			Expect(state.Bytes()).To(Equal(seedState().Bytes()), "the state is unchanged")
		},
		Entry("a later version", storedState{Version: storedVersion + 1}, "version 2"),
		Entry("no version", storedState{LastToken: 1}, "version 0"),
		Entry("a duplicate lock", storedState{Version: storedVersion, Locks: []storedLock{{Name: "l"}, {Name: "l"}}}, "locks"),
		Entry("cells that are not sorted", storedState{Version: storedVersion, Cells: []storedCell{{Name: "g.b"}, {Name: "g.a"}}}, "cells"),
		Entry("a duplicate number", storedState{Version: storedVersion, Numbers: []storedNumber{{Name: "n"}, {Name: "n"}}}, "numbers"),
		Entry("a duplicate group", storedState{Version: storedVersion, Groups: []storedGroup{{Name: "g."}, {Name: "g."}}}, "groups"),
		Entry("a history with a gap", storedState{Version: storedVersion, Groups: []storedGroup{{Name: "g.", Revision: 2}}}, "0 events"),
		Entry("a floor above the revision", storedState{Version: storedVersion, Groups: []storedGroup{{Name: "g.", Floor: 1}}}, "0 events"),
		Entry("an event at the wrong revision", storedState{Version: storedVersion, Groups: []storedGroup{
			{Name: "g.", Revision: 1, Events: []Event{{"g.a", "1", 2}}},
		}}, "wrong revision"),
		Entry("a duplicate put", storedState{Version: storedVersion, Groups: []storedGroup{
			{Name: "g.", Revision: 2, Events: []Event{{"g.a", "1", 1}, {"g.a", "1", 2}}},
		}}, "wrong revision"),
	)

	It("is rejected if it is truncated", func() {
		data, err := seedState().GobEncode()
		Expect(err).NotTo(HaveOccurred())
		for length := range data {
			Expect((&State{}).GobDecode(data[:length])).NotTo(Succeed())
		}
	})
})
