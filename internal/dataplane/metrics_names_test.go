package dataplane

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"

	"dykering/internal/fixture"
)

var _ = Describe("the names of the metrics", func() {
	It("are those listed in docs/FIXED.md", func() {
		proxy := newTestProxy(routeJSON("non_idempotent", ""), newFakeEndpoint("i-1", responds(200, "hello", signatureHeader)))
		recorder := httptest.NewRecorder()
		proxy.server.adminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		writeOutcomes(recorder.Body, map[requestOutcome]uint64{{result: resultInTime}: 1})
		writeAttempts(recorder.Body, attemptCounters{byOutcome: map[attemptOutcome]uint64{{}: 1}})
		documented := fixture.Names(GinkgoTB(), "../../docs/FIXED.md", "Metrics of the proxy")
		fixture.SameNames(GinkgoTB(), "metrics", documented, fixture.MetricNames(recorder.Body.String()))
	})
})
