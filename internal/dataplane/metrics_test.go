package dataplane

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the readiness address", func() {
	get := func(s *sidecar, path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		s.process.health().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder
	}

	It("tells metrics as text", func() {
		s := newSidecar(route("non_idempotent", ""), newStandIn("i-1", says(200, "hello", stamped)))
		text := get(s, "/metrics").Body.String()
		Expect(text).To(ContainSubstring("dykering_proxy_ready 1\n"))
		Expect(text).To(ContainSubstring("dykering_proxy_configuration_version 1\n"))
		Expect(text).To(ContainSubstring("dykering_proxy_endpoints{mark=\"usable\"} 1\n"))
		Expect(text).To(ContainSubstring("dykering_proxy_endpoints{mark=\"leaving\"} 0\n"))
	})

	It("is ready under every other path, with a configuration", func() {
		s := newSidecar(route("non_idempotent", ""))
		Expect(get(s, "/readiness").Code).To(Equal(http.StatusOK))
		s.process.config.Store(nil)
		Expect(get(s, "/readiness").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(get(s, "/metrics").Body.String()).To(ContainSubstring("dykering_proxy_ready 0\n"))
	})
})
