package controlplane

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/feed"
)

var _ = Describe("the calls to endpoints", func() {
	calls := func(id string, inFlight, waiting int) feed.EndpointLoad {
		return feed.EndpointLoad{ID: id, InFlight: inFlight, Waiting: waiting}
	}

	It("are summed over sidecars and peers, each by its last word", func() {
		table := newLoadTable()
		table.report("p1", []feed.EndpointLoad{calls("a", 5, 5)})
		table.report("p1", []feed.EndpointLoad{calls("a", 2, 1), calls("b", 1, 0)})
		table.report("p2", []feed.EndpointLoad{calls("a", 3, 1)})
		table.share(0, feed.LoadShare{From: "peer", Loads: []feed.EndpointLoad{calls("b", 4, 4)}})
		loads, due := table.due(0)
		Expect(due).To(BeTrue())
		Expect(loads).To(ConsistOf(calls("a", 5, 2), calls("b", 5, 4)))
	})

	It("leave with their sidecar, and with a peer that has gone quiet", func() {
		table := newLoadTable()
		table.report("p1", []feed.EndpointLoad{calls("a", 1, 1)})
		table.report("p1", nil)
		table.share(0, feed.LoadShare{From: "peer", Loads: []feed.EndpointLoad{calls("b", 4, 4)}})
		loads, due := table.due(2 * shareFor)
		Expect(due).To(BeTrue())
		Expect(loads).To(BeEmpty())
	})

	It("are told within a bound of bytes a second, whatever their number", func() {
		table := newLoadTable()
		var many []feed.EndpointLoad
		for i := range 5000 {
			many = append(many, calls(fmt.Sprint("e", i), 1, 0))
		}
		table.report("p1", many)
		sent := 0
		for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
			if loads, due := table.due(at); due {
				sent += len(loads) * loadBytes
			}
		}
		Expect(sent).To(BeNumerically("<=", 60*loadRate+len(many)*loadBytes))
		Expect(sent).To(BeNumerically(">", 0))
	})
})
