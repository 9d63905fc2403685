package dataplane

import (
	"fmt"
	"net/http"
	"time"

	"dykering/internal/errkind"
)

// refusal is an answer of our own.
type refusal struct {
	kind       errkind.Kind
	detail     string
	retryAfter time.Duration // 0 for none
}

func (f *refusal) Error() string { return errkind.AnswerOf(f.kind).Text + ": " + f.detail }

// answer writes a refusal.
func (f *refusal) answer(w http.ResponseWriter) {
	answer := errkind.AnswerOf(f.kind)
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", f.retryAfter.Seconds()))
	}
	http.Error(w, f.Error(), answer.Status)
}
