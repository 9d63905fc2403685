package dataplane

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"

	"dykering/internal/fixture"
)

var _ = Describe("the names of the metrics", func() {
	It("are those of the page", func() {
		s := newSidecar(route("non_idempotent", ""), newStandIn("i-1", says(200, "hello", stamped)))
		recorder := httptest.NewRecorder()
		s.process.health().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		writeEndings(recorder.Body, map[ending]uint64{{result: resultInTime}: 1})
		page := fixture.Names(GinkgoTB(), "../../docs/FIXED.md", "Metrics of the proxy")
		fixture.SameNames(GinkgoTB(), "metrics", page, fixture.MetricNames(recorder.Body.String()))
	})
})
