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

var _ = Describe("the log of requests that were not answered in time", func() {
	told := func(s *sidecar, path string) (found []Explained) {
		recorder := httptest.NewRecorder()
		s.process.health().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		Expect(json.Unmarshal(recorder.Body.Bytes(), &found)).To(Succeed())
		return found
	}

	It("tells of a request that failed, where it was sent and why", func() {
		s := newSidecar(route("non_idempotent", ""), newStandIn("i-1", closes))
		response, _, err := s.ask("/p/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(func() []Explained { return told(s, "/explain") }).Should(HaveLen(1))
		e := told(s, "/explain")[0]
		Expect([]string{e.Result, e.Endpoint, e.Route}).To(Equal([]string{resultFailed, "i-1", "r"}))
		Expect(e.Sent).To(Equal(1))
		Expect(e.Chosen).To(HaveKey("work"))
		Expect(told(s, "/explain?request=another")).To(BeEmpty())
		Expect(told(s, "/explain?request="+e.Request)).To(HaveLen(1))
	})

	It("leaves out what was answered in time", func() {
		s := newSidecar(route("non_idempotent", ""), newStandIn("i-1", says(200, "hello", stamped)))
		response, _, err := s.ask("/p/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Consistently(func() []Explained { return told(s, "/explain") }, "50ms").Should(BeEmpty())
	})

	It("keeps the last ones alone", func() {
		var log explainedLog
		for i := range mostExplained + 3 {
			log.note(Explained{Request: fmt.Sprint(i), EndedAt: time.Unix(int64(i), 0)})
		}
		Expect(log.about("")).To(HaveLen(mostExplained))
		Expect(log.about("2")).To(BeEmpty())
		Expect(log.about("3")).To(HaveLen(1))
	})
})
