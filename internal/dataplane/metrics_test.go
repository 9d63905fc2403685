package dataplane

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the readiness address", func() {
	get := func(proxy *testProxy, path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		proxy.server.adminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder
	}

	It("serves metrics as text", func() {
		proxy := newTestProxy(routeJSON("non_idempotent", ""), newFakeEndpoint("i-1", responds(200, "hello", signatureHeader)))
		text := get(proxy, "/metrics").Body.String()
		Expect(text).To(ContainSubstring("dykering_proxy_ready 1\n"))
		Expect(text).To(ContainSubstring("dykering_proxy_configuration_version 1\n"))
		Expect(text).To(ContainSubstring("dykering_proxy_endpoints{mark=\"usable\"} 1\n"))
		Expect(text).To(ContainSubstring("dykering_proxy_endpoints{mark=\"leaving\"} 0\n"))
	})

	It("reports readiness under every other path if there is a configuration", func() {
		proxy := newTestProxy(routeJSON("non_idempotent", ""))
		Expect(get(proxy, "/readiness").Code).To(Equal(http.StatusOK))
		proxy.server.config.Store(nil)
		Expect(get(proxy, "/readiness").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(get(proxy, "/metrics").Body.String()).To(ContainSubstring("dykering_proxy_ready 0\n"))
	})
})
