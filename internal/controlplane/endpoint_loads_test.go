package controlplane

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/protocol"
)

var _ = Describe("the load of endpoints", func() {
	loadOf := func(id string, inFlight, waiting int) protocol.EndpointLoad {
		return protocol.EndpointLoad{ID: id, InFlight: inFlight, Waiting: waiting}
	}

	It("is the sum of the last reports of all proxies and peers", func() {
		table := newEndpointLoadTable()
		table.applyReport(0, "p1", []protocol.EndpointLoad{loadOf("a", 5, 5)})
		table.applyReport(0, "p1", []protocol.EndpointLoad{loadOf("a", 2, 1), loadOf("b", 1, 0)})
		table.applyReport(0, "p2", []protocol.EndpointLoad{loadOf("a", 3, 1)})
		table.applyPeerLoads(0, protocol.EndpointLoadSync{From: "peer", Loads: []protocol.EndpointLoad{loadOf("b", 4, 4)}})
		loads, due := table.totalsIfDue(0)
		Expect(due).To(BeTrue())
		Expect(loads).To(ConsistOf(loadOf("a", 5, 2), loadOf("b", 5, 4)))
	})

	It("is dropped when its proxy is removed, and when the TTL of a peer has expired", func() {
		table := newEndpointLoadTable()
		table.applyReport(0, "p1", []protocol.EndpointLoad{loadOf("a", 1, 1)})
		table.applyReport(0, "p1", nil)
		table.applyPeerLoads(0, protocol.EndpointLoadSync{From: "peer", Loads: []protocol.EndpointLoad{loadOf("b", 4, 4)}})
		loads, due := table.totalsIfDue(2 * peerLoadsTTL)
		Expect(due).To(BeTrue())
		Expect(loads).To(BeEmpty())
	})

	It("sums outcomes over proxies and peers, decays them, and omits them without failures", func() {
		ended := func(id string, good, failed float64) protocol.EndpointLoad {
			return protocol.EndpointLoad{ID: id, Good: good, Failed: failed}
		}
		table := newEndpointLoadTable()
		table.applyReport(0, "p1", []protocol.EndpointLoad{ended("a", 2, 1), ended("b", 5, 0)})
		table.applyReport(0, "p2", []protocol.EndpointLoad{ended("a", 1, 3)})
		table.applyReport(0, "p1", nil)
		table.applyPeerLoads(0, protocol.EndpointLoadSync{From: "peer", Loads: []protocol.EndpointLoad{ended("a", 0, 2)}})
		loads, due := table.totalsIfDue(0)
		Expect(due).To(BeTrue())
		Expect(loads).To(ConsistOf(ended("a", 3, 6)))
		Expect(table.localTotals(time.Hour)).To(BeEmpty())
		Expect(table.outcomes).To(BeEmpty(), "negligible outcomes are deleted")
	})

	It("counts outcomes of a bounded number of endpoints", func() {
		table := newEndpointLoadTable()
		for i := range 2 * maxOutcomeEndpoints {
			table.applyReport(0, "p1", []protocol.EndpointLoad{{ID: fmt.Sprint("e", i), Failed: 1}})
		}
		Expect(table.outcomes).To(HaveLen(maxOutcomeEndpoints))
	})

	It("is streamed with a bounded number of bytes per second, for any number of endpoints", func() {
		table := newEndpointLoadTable()
		var many []protocol.EndpointLoad
		for i := range 5000 {
			many = append(many, loadOf(fmt.Sprint("e", i), 1, 0))
		}
		table.applyReport(0, "p1", many)
		sent := 0
		for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
			if loads, due := table.totalsIfDue(at); due {
				sent += len(loads) * encodedLoadBytes
			}
		}
		Expect(sent).To(BeNumerically("<=", 60*maxLoadBytesPerSecond+len(many)*encodedLoadBytes))
		Expect(sent).To(BeNumerically(">", 0))
	})
})
