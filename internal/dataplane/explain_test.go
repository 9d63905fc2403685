package dataplane

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("request explanations", func() {
	explanations := func(proxy *testProxy, path string) (found []RequestExplanation) {
		recorder := httptest.NewRecorder()
		proxy.server.adminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		Expect(json.Unmarshal(recorder.Body.Bytes(), &found)).To(Succeed())
		return found
	}

	It("include a failed request with its endpoint and cause", func() {
		proxy := newTestProxy(routeJSON("non_idempotent", ""), newFakeEndpoint("i-1", closesConnection))
		response, _, err := proxy.send("/p/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(func() []RequestExplanation { return explanations(proxy, "/explain") }).Should(HaveLen(1))
		e := explanations(proxy, "/explain")[0]
		Expect([]string{e.Result, e.Endpoint, e.Route}).To(Equal([]string{resultFailed, "i-1", "r"}))
		Expect(e.Attempts).To(Equal(1))
		Expect(e.SelectedBy).To(HaveKey("work"))
		Expect(explanations(proxy, "/explain?request=another")).To(BeEmpty())
		Expect(explanations(proxy, "/explain?request="+e.Request)).To(HaveLen(1))
	})

	It("do not include a request that was answered in time", func() {
		proxy := newTestProxy(routeJSON("non_idempotent", ""), newFakeEndpoint("i-1", responds(200, "hello", signatureHeader)))
		response, _, err := proxy.send("/p/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Consistently(func() []RequestExplanation { return explanations(proxy, "/explain") }, "50ms").Should(BeEmpty())
	})

	It("are kept for the last requests up to a bound", func() {
		var log explanationLog
		for i := range maxExplanations + 3 {
			log.add(RequestExplanation{Request: fmt.Sprint(i), EndedAt: time.Unix(int64(i), 0)})
		}
		Expect(log.find("")).To(HaveLen(maxExplanations))
		Expect(log.find("2")).To(BeEmpty())
		Expect(log.find("3")).To(HaveLen(1))
	})
})
