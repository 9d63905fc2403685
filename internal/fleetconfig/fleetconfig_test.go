package fleetconfig

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
)

func TestFleetconfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configurations")
}

const route = `{"name":"r1","host":"a.example","path_prefix":"/x/","kind":"streaming","timeout_ms":5000,"service":"s1"}`

func replace(version, base int64, routes, services string) *Change {
	body := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"idle_timeout_ms":15000}}`, version, routes, services)
	return &Change{Operation: Replace, Base: base, Body: []byte(body)}
}

func taken(c *Change) *State {
	next, err := (&State{}).Next(c)
	Expect(err).NotTo(HaveOccurred())
	return next
}

var _ = Describe("a whole configuration", func() {
	DescribeTable("is refused where it is invalid",
		func(change *Change, kind errkind.Kind) {
			state := taken(replace(3, 0, route, `{"name":"s1"}`))
			_, err := state.Next(change)
			Expect(err).To(HaveOccurred())
			Expect(errkind.KindOf(err)).To(Equal(kind))
		},
		Entry("cut short", &Change{Operation: Replace, Base: 3, Body: []byte(`{"version":4,"routes":[`)}, errkind.InvalidConfig),
		Entry("not an object", &Change{Operation: Replace, Base: 3, Body: []byte(`[]`)}, errkind.InvalidConfig),
		Entry("followed by more", &Change{Operation: Replace, Base: 3, Body: []byte(`{"version":4,"routes":[],"services":[]} {}`)}, errkind.InvalidConfig),
		Entry("an unknown service", replace(4, 3, route, `{"name":"s2"}`), errkind.InvalidConfig),
		Entry("two routes in one place", replace(4, 3, route+`,{"name":"r2","host":"A.example","path_prefix":"/x/","timeout_ms":1,"service":"s1"}`, `{"name":"s1"}`), errkind.InvalidConfig),
		Entry("two routes of one name", replace(4, 3, route+`,{"name":"r1","host":"b.example","path_prefix":"/x/","timeout_ms":1,"service":"s1"}`, `{"name":"s1"}`), errkind.InvalidConfig),
		Entry("weights that sum to 0", replace(4, 3, `{"name":"r1","host":"a.example","path_prefix":"/x/","timeout_ms":1,"traffic_split":[{"service":"s1","weight":0}]}`, `{"name":"s1"}`), errkind.InvalidConfig),
		Entry("a time-out of 0", replace(4, 3, `{"name":"r1","host":"a.example","path_prefix":"/x/","timeout_ms":0,"service":"s1"}`, `{"name":"s1"}`), errkind.InvalidConfig),
		Entry("no time-out", replace(4, 3, `{"name":"r1","host":"a.example","path_prefix":"/x/","service":"s1"}`, `{"name":"s1"}`), errkind.InvalidConfig),
		Entry("the current version", replace(3, 3, "", `{"name":"s1"}`), errkind.InvalidConfig),
		Entry("an older version", replace(2, 3, "", `{"name":"s1"}`), errkind.InvalidConfig),
		Entry("a version that is no number", &Change{Operation: Replace, Base: 3, Body: []byte(`{"version":"4","routes":[],"services":[]}`)}, errkind.InvalidConfig),
		Entry("another base", replace(5, 2, route, `{"name":"s1"}`), errkind.VersionConflict),
	)

	It("is given back as it was sent, with what this program does not know", func() {
		const odd = `{"name":"r1","host":"a.example","path_prefix":"/x/","timeout_ms":5000.0,"service":"s1","colour":"<blue>"}`
		state := taken(replace(3, 0, odd, `{"name":"s1","big":65099.99999999999}`))
		text, err := state.Document.JSON()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(MatchJSON(`{"version":3,"routes":[` + odd + `],"services":[{"name":"s1","big":65099.99999999999}],"limits":{"idle_timeout_ms":15000}}`))
		Expect(string(text)).To(ContainSubstring("65099.99999999999"))
		Expect(json.Valid(text)).To(BeTrue())
	})
})

var _ = Describe("a change of named items", func() {
	modify := func(base int64, body string) *Change {
		return &Change{Operation: Modify, Base: base, Body: []byte(body)}
	}

	It("adds, replaces in place and removes", func() {
		state := taken(replace(3, 0, route+`,{"name":"r2","host":"b.example","path_prefix":"/","timeout_ms":1,"service":"s1"}`, `{"name":"s1"}`))
		next, err := state.Next(modify(3, `{"version":9,"upsert":{"routes":[
			{"name":"r1","host":"c.example","path_prefix":"/y/","timeout_ms":7,"service":"s1"},
			{"name":"r3","host":"d.example","path_prefix":"/","timeout_ms":7,"service":"s1"}]},"remove":{"routes":["r2","r-none"]}}`))
		Expect(err).NotTo(HaveOccurred())
		parsed, err := Parse(&next.Document)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Version).To(Equal(int64(9)))
		Expect(parsed.Routes).To(HaveLen(2))
		Expect(parsed.Routes[0].Host).To(Equal("c.example"))
		Expect(parsed.Routes[1].Name).To(Equal("r3"))
		Expect(string(next.Document.Limits)).To(Equal(string(state.Document.Limits)))
	})

	It("is refused where what it leaves is invalid", func() {
		state := taken(replace(3, 0, route, `{"name":"s1"}`))
		_, err := state.Next(modify(3, `{"version":4,"remove":{"services":["s1"]}}`))
		Expect(errkind.KindOf(err)).To(Equal(errkind.InvalidConfig))
	})

	It("leaves the state it was made of as it is", func() {
		state := taken(replace(3, 0, route, `{"name":"s1"}`))
		before, err := state.Document.JSON()
		Expect(err).NotTo(HaveOccurred())
		_, err = state.Next(modify(3, `{"version":4,"remove":{"routes":["r1"]}}`))
		Expect(err).NotTo(HaveOccurred())
		after, err := state.Document.JSON()
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(Equal(before))
	})
})

var _ = Describe("a change that was taken", func() {
	It("is known by its digest, also after others", func() {
		first := replace(3, 0, route, `{"name":"s1"}`)
		state := taken(first)
		next, err := state.Next(replace(4, 3, "", `{"name":"s1"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(next.HasApplied(first.Digest())).To(BeTrue())
		Expect(next.HasApplied(replace(3, 1, route, `{"name":"s1"}`).Digest())).To(BeFalse())
	})

	It("is the same at each replica", func() {
		change := replace(3, 0, route, `{"name":"s1"}`)
		Expect((&State{}).Apply(change)).To(Equal(taken(change)))
	})

	It("is known with other white space and another order of keys", func() {
		first := &Change{Operation: Replace, Body: []byte(`{"version":3,"routes":[],"services":[{"name":"s1","weight":1.50}]}`)}
		again := &Change{Operation: Replace, Body: []byte("{ \"services\": [ {\"weight\": 1.50, \"name\": \"s1\"} ],\n\"routes\": [], \"version\": 3 }")}
		other := &Change{Operation: Replace, Body: []byte(`{"version":3,"routes":[],"services":[{"name":"s2","weight":1.50}]}`)}
		Expect(taken(first).HasApplied(again.Digest())).To(BeTrue())
		Expect(taken(first).HasApplied(other.Digest())).To(BeFalse())
	})

	It("is known also where a member of an earlier version has taken it, by its exact bytes", func() {
		change := &Change{Operation: Replace, Body: []byte(`{ "version": 3, "services": [], "routes": [] }`)}
		state := &State{Taken: []Digest{change.digestOf(change.Body)}}
		Expect(state.HasApplied(change.Digest())).To(BeFalse())
		Expect(state.HasAppliedAny(change.Digests())).To(BeTrue())
	})

	DescribeTable("is not refused when it comes again after very many others",
		func(others int, has bool) {
			first := replace(1, 0, "", "")
			state := taken(first)
			for version := int64(2); version < int64(others+2); version++ {
				state = state.take(Document{Version: version}, Digest{byte(version), byte(version >> 8), byte(version >> 16)})
			}
			Expect(state.HasApplied(first.Digest())).To(Equal(has))
			_, err := state.Next(first)
			if !has {
				Expect(errkind.KindOf(err)).To(Equal(errkind.Unavailable), "no clear answer")
			}
			late := replace(state.Document.Version+1, state.Document.Version-1, "", "")
			_, err = state.Next(late)
			Expect(errkind.KindOf(err)).To(Equal(errkind.VersionConflict), "one that cannot have been taken")
		},
		Entry("some", 500, true),
		Entry("more than are kept", 10000, false),
	)

	It("is one of a bounded number", func() {
		state := taken(replace(1, 0, "", ""))
		state.Taken = make([]Digest, mostTaken)
		Expect(state.Apply(replace(2, 1, "", "")).Taken).To(HaveLen(mostTaken))
	})
})
