package errkind

import (
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

func TestErrkind(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "error kinds")
}

var _ = Describe("the kinds", func() {
	It("each have an answer with an error status and a text", func() {
		for kind := Kind(0); kind < numKinds; kind++ {
			Expect(AnswerOf(kind).Status).To(BeNumerically(">=", 400))
			Expect(AnswerOf(kind).Text).NotTo(BeEmpty())
		}
	})

	It("have status 503 if the request was not executed, except 412 and 429 for coordination", func() {
		for kind := Kind(0); kind < numKinds; kind++ {
			answer := AnswerOf(kind)
			if !answer.NotExecuted {
				continue
			}
			switch kind {
			case RevisionConflict:
				Expect(answer.Status).To(Equal(http.StatusPreconditionFailed))
			case RateLimited:
				Expect(answer.Status).To(Equal(http.StatusTooManyRequests))
			default:
				Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
			}
		}
	})

	It("have status 503 only if the request was not executed, except Unavailable", func() {
		for kind := Kind(0); kind < numKinds; kind++ {
			if answer := AnswerOf(kind); answer.Status == http.StatusServiceUnavailable && kind != Unavailable {
				Expect(answer.NotExecuted).To(BeTrue(), answer.Text)
			}
		}
		Expect(AnswerOf(OutcomeUnknown).Status).To(Equal(http.StatusGatewayTimeout))
	})

	It("are found behind wrapping errors and default to Internal", func() {
		Expect(KindOf(errors.Wrap(New(NoRoute, "x"), "y"))).To(Equal(NoRoute))
		Expect(KindOf(errors.New("z"))).To(Equal(Internal))
		Expect(AnswerOf(numKinds)).To(Equal(AnswerOf(Internal)))
	})
})
