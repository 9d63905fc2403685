package coordination

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
)

var _ = Describe("the table of watches", func() {
	const wait = 2 * time.Second
	var m *stateMachine
	var table *WatchTable
	var seq uint64
	BeforeEach(func() {
		m, table, seq = newStateMachine(), NewWatchTable(), 1
		m.do(put("g.a", "1"))
	})
	source := func() WatchSource { return WatchSource{Seq: seq, State: m.State, CanServe: true} }
	// add adds a watch of the group "g." above a revision. The watch waits for 2 s.
	add := func(after uint64, from WatchSource) (*Watch, <-chan WatchAnswer) {
		answers := make(chan WatchAnswer, 2)
		w := &Watch{Group: "g.", After: after, Deadline: wait, Answer: func(answer WatchAnswer) { answers <- answer }}
		table.Add(0, from, w)
		return w, answers
	}
	commit := func(command Command) {
		m.do(command)
		seq++
	}
	expectFailure := func(answers <-chan WatchAnswer, kind errkind.Kind) {
		GinkgoHelper()
		var answer WatchAnswer
		Expect(answers).To(Receive(&answer))
		Expect(errkind.KindOf(answer.Err)).To(Equal(kind))
	}

	It("answers at once if there are puts", func() {
		_, answers := add(0, source())
		Expect(answers).To(Receive(Equal(WatchAnswer{Events: []Event{{"g.a", "1", 1}}, Revision: 1})))
		Expect(table.IsEmpty()).To(BeTrue())
	})

	It("answers all waiting watches once when there is a put in the group", func() {
		_, first := add(1, source())
		_, second := add(1, source())
		commit(put("h.a", "2"))
		table.AnswerReady(time.Second, source())
		Expect(first).NotTo(Receive())
		commit(put("g.b", "3"))
		table.AnswerReady(time.Second, source())
		wanted := WatchAnswer{Events: []Event{{"g.b", "3", 2}}, Revision: 2}
		Expect(first).To(Receive(Equal(wanted)))
		Expect(second).To(Receive(Equal(wanted)))
		table.AnswerReady(wait, source())
		Expect(first).NotTo(Receive())
		Expect(table.Len()).To(BeZero())
	})

	It("answers without puts at the deadline, with the requested revision", func() {
		_, answers := add(1, source())
		table.AnswerReady(wait-1, source())
		Expect(answers).NotTo(Receive())
		table.AnswerReady(wait, source())
		Expect(answers).To(Receive(Equal(WatchAnswer{Revision: 1})))
	})

	It("keeps a watch waiting above a revision that this member has not reached", func() {
		_, answers := add(5, source())
		commit(put("g.b", "2"))
		table.AnswerReady(time.Second, source())
		Expect(answers).NotTo(Receive())
		table.AnswerReady(wait, source())
		Expect(answers).To(Receive(Equal(WatchAnswer{Revision: 5})))
	})

	It("answers with a bounded number of puts, after which the caller continues without a gap", func() {
		for i := range maxEventsPerAnswer + 1 {
			commit(put("g.c", fmt.Sprint("x", i)))
		}
		_, answers := add(1, source())
		var answer WatchAnswer
		Expect(answers).To(Receive(&answer))
		Expect(answer.Events).To(HaveLen(maxEventsPerAnswer))
		Expect(answer.Revision).To(Equal(uint64(1 + maxEventsPerAnswer)))
		_, answers = add(answer.Revision, source())
		Expect(answers).To(Receive(HaveField("Revision", uint64(2+maxEventsPerAnswer))))
	})

	It("fails a watch if the history starts later", func() {
		commit(put("g.a", "2"))
		commit(dropHistory("g.", 2))
		_, answers := add(1, source())
		expectFailure(answers, errkind.HistoryGone)
	})

	It("fails new and waiting watches if this member may be behind", func() {
		_, waiting := add(1, source())
		behind := source()
		behind.CanServe = false
		_, answers := add(0, behind)
		expectFailure(answers, errkind.NotReady)
		table.AnswerReady(time.Second, behind)
		expectFailure(waiting, errkind.NotReady)
		Expect(table.IsEmpty()).To(BeTrue())
	})

	It("keeps watches waiting while the members agree on the next view, and serves them afterwards", func() {
		_, answers := add(1, source())
		commit(put("g.b", "2"))
		changing := source()
		changing.CanServe, changing.IsChanging = false, true
		table.AnswerReady(wait, changing)
		Expect(answers).NotTo(Receive())
		table.AnswerReady(wait, source())
		Expect(answers).To(Receive(HaveField("Revision", uint64(2))))
	})

	It("does not answer a removed watch", func() {
		removed, answers := add(1, source())
		_, other := add(1, source())
		table.Remove(removed)
		table.Remove(removed)
		commit(put("g.b", "2"))
		table.AnswerReady(time.Second, source())
		Expect(answers).NotTo(Receive())
		Expect(other).To(Receive())
	})

	It("fails all watches when the process stops, and rejects new ones afterwards", func() {
		_, waiting := add(1, source())
		table.Stop()
		expectFailure(waiting, errkind.NotReady)
		_, later := add(0, source())
		expectFailure(later, errkind.NotReady)
	})

	It("accepts a bounded number of watches", func() {
		for range maxWatches {
			add(1, source())
		}
		_, answers := add(1, source())
		expectFailure(answers, errkind.RateLimited)
		Expect(table.Len()).To(Equal(maxWatches))
	})
})
