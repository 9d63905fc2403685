package routing

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/fleetconfig"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var _ = Describe("routes", func() {
	routes := NewRoutes(&fleetconfig.Config{Routes: []fleetconfig.Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "long", Host: "A.example", PathPrefix: "/x/y/"},
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
	DescribeTable("match by host and the longest prefix",
		func(host, path, expected string) {
			route, ok := routes.Match(host, path)
			if expected == "" {
				Expect(ok).To(BeFalse())
				return
			}
			Expect(ok).To(BeTrue())
			Expect(route.Name).To(Equal(expected))
		},
		Entry("the longest matching prefix", "a.example", "/x/y/z", "long"),
		Entry("a shorter matching prefix", "a.example", "/x/z", "short"),
		Entry("a prefix that the path does not contain completely", "a.example", "/x", "all"),
		Entry("a host in capitals, with a port", "A.EXAMPLE:8080", "/x/y/", "long"),
		Entry("another host", "b.example", "/x/y/", "other"),
		Entry("no matching prefix of the host", "b.example", "/y/", ""),
		Entry("a host without routes", "c.example", "/x/", ""),
	)

	DescribeTable("split their requests by weight",
		func(chance float64, expected string) {
			route := &fleetconfig.Route{TrafficSplit: []fleetconfig.WeightedService{
				{Service: "s0", Weight: 0}, {Service: "s1", Weight: 90}, {Service: "s2", Weight: 10},
			}}
			Expect(SelectService(route, chance)).To(Equal(expected))
		},
		Entry("none to a weight of 0", 0.0, "s1"),
		Entry("most to the first", 0.89, "s1"),
		Entry("the rest to the second", 0.91, "s2"),
	)
})
