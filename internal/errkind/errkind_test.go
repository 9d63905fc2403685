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
	It("have an answer each", func() {
		for kind := Kind(0); kind < kinds; kind++ {
			Expect(AnswerOf(kind).Status).To(BeNumerically(">=", 400))
			Expect(AnswerOf(kind).Text).NotTo(BeEmpty())
		}
	})

	It("promise by their status exactly what they promise", func() {
		for kind := Kind(0); kind < kinds; kind++ {
			answer := AnswerOf(kind)
			if answer.NotExecuted {
				Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
			}
		}
	})

	It("are found behind other errors", func() {
		Expect(KindOf(errors.Wrap(New(NoRoute, "x"), "y"))).To(Equal(NoRoute))
		Expect(KindOf(errors.New("z"))).To(Equal(Internal))
		Expect(AnswerOf(kinds)).To(Equal(AnswerOf(Internal)))
	})
})
