package history

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
)

func TestHistory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "histories of coordination")
}

const (
	testRetention = 20 * time.Second
	testHold      = time.Second
)

// at returns a call of client a that is sent and answered at the given milliseconds.
func at(sent, received int, operation Operation, name string, status int) Call {
	return Call{
		Client: "a", Operation: operation, Name: name, Status: status,
		Sent: time.Duration(sent) * time.Millisecond, Received: time.Duration(received) * time.Millisecond,
	}
}

// byClient returns the call as made by another client.
func (c Call) byClient(client string) Call {
	c.Client = client
	return c
}

func (c Call) final() Call {
	c.Final = true
	return c
}

func (c Call) token(token uint64) Call {
	c.Token, c.Hold = token, testHold
	return c
}

func (c Call) number(number uint64) Call {
	c.Number = number
	return c
}

func (c Call) value(value string, revision uint64) Call {
	c.Value, c.Revision = value, revision
	return c
}

func (c Call) ifAt(revision uint64) Call {
	c.Conditional, c.IfRevision = true, revision
	return c
}

func (c Call) watched(after, revision uint64, events ...Event) Call {
	c.After, c.Revision, c.Events = after, revision, events
	return c
}

func (c Call) configuration(base, version int, content string) Call {
	c.Base, c.Version, c.Content = base, version, content
	return c
}

func begin(sent, received int) Call  { return at(sent, received, Begin, "l", 200) }
func putOf(sent, received int) Call  { return at(sent, received, Put, "g.k", 200) }
func readOf(sent, received int) Call { return at(sent, received, Read, "g.k", 200) }
func watch(sent, received int) Call  { return at(sent, received, Watch, "g.", 200) }
func change(sent, received int) Call { return at(sent, received, Configure, "", 200) }
func event(key, value string, revision uint64) Event {
	return Event{Name: key, Value: value, Revision: revision}
}

var (
	withoutAnswer = func(c Call) Call { c.Status = 0; c.Revision = 0; return c }
	withStatus    = func(c Call, status int) Call { c.Status = status; return c }
)

var _ = DescribeTable("a history", func(calls []Call, rules ...string) {
	found := lo.Uniq(lo.Map(Check(calls, testRetention), func(v Violation, _ int) string { return v.Rule }))
	Expect(found).To(ConsistOf(rules), "%v", Check(calls, testRetention))
},
	Entry("is good while empty", nil),

	// Locks.
	Entry("is good if a lock is granted to another client after its expiry", []Call{begin(0, 5).token(1), begin(1000, 1005).byClient("b").token(2)}),
	Entry("is good if a lock is granted to another client after its release was sent, before the release is answered", []Call{
		begin(0, 5).token(1), at(10, 30, Finish, "l", 200).token(1), begin(12, 20).byClient("b").token(2),
	}),
	Entry("is good if a renewal comes too late to count", []Call{
		begin(0, 5).token(1), at(900, 1100, Heartbeat, "l", 200).token(1), begin(1001, 1010).byClient("b").token(2),
	}),
	Entry("is good if the first answer comes too late to count", []Call{begin(0, 1001).token(1), begin(1000, 1002).byClient("b").token(2)}),
	Entry("is good if a holder gets its lock again", []Call{begin(0, 5).token(1), begin(500, 505).token(1), begin(1500, 1505).byClient("b").token(2)}),
	Entry("is bad if two clients hold a lock", []Call{begin(0, 5).token(1), begin(990, 995).byClient("b").token(2)}, One),
	Entry("is bad if two clients hold a lock since one has renewed it", []Call{
		begin(0, 5).token(1), at(500, 510, Heartbeat, "l", 200).token(1), begin(1400, 1405).byClient("b").token(2),
	}, One),
	Entry("is bad if a lock that its holder acquired again is granted to another client", []Call{
		begin(0, 5).token(1), at(10, 1010, Finish, "l", 0).token(1), begin(1011, 1012).token(1), begin(1013, 1014).byClient("b").token(2),
	}, One),
	Entry("is bad if a token decreases", []Call{begin(0, 5).token(7), begin(1100, 1105).byClient("b").token(6)}, One),
	Entry("is good if tokens of calls at the same time are in any order", []Call{begin(0, 1010).token(7), begin(1005, 1009).byClient("b").token(6)}),
	Entry("is bad if two clients get the same token", []Call{begin(0, 5).token(7), begin(1100, 1105).byClient("b").token(7)}, One),
	Entry("is bad if a token decreases in a final call", []Call{begin(0, 5).token(7), begin(1100, 1105).byClient("b").token(6).final()}, Lost),

	// Numbers.
	Entry("is good if numbers have gaps", []Call{at(0, 5, Number, "n", 200).number(1), at(6, 8, Number, "n", 200).number(9)}),
	Entry("is good if numbers of calls at the same time are in any order", []Call{
		at(0, 5, Number, "n", 200).number(2), at(4, 8, Number, "n", 200).number(1),
	}),
	Entry("is bad if a number is handed out twice", []Call{at(0, 5, Number, "n", 200).number(2), at(0, 5, Number, "n", 200).number(2)}, Order),
	Entry("is bad if a number decreases", []Call{at(0, 5, Number, "n", 200).number(2), at(6, 8, Number, "n", 200).number(1)}, Order),
	Entry("is good if two names have the same number", []Call{
		at(0, 5, Number, "n", 200).number(2), at(6, 8, Number, "m", 200).number(2),
	}),

	// Puts and their revisions.
	Entry("is good if a put without a definite answer is sent again", []Call{
		withoutAnswer(putOf(0, 5).value("x", 0)), putOf(6, 8).value("x", 1), readOf(9, 10).value("x", 1),
	}),
	Entry("is bad if a repeated put gets another revision", []Call{putOf(0, 5).value("x", 1), putOf(6, 8).value("x", 2)}, Mixed),
	Entry("is bad if a revision is handed out twice", []Call{
		putOf(0, 5).value("x", 1), at(0, 5, Put, "g.m", 200).value("y", 1),
	}, Order),
	Entry("is good if two groups have the same revision", []Call{putOf(0, 5).value("x", 1), at(6, 8, Put, "h.k", 200).value("y", 1)}),
	Entry("is bad if a revision decreases", []Call{putOf(0, 5).value("x", 2), at(6, 8, Put, "g.m", 200).value("y", 1)}, Order),
	Entry("is bad if a put gets a revision that a watch has passed", []Call{
		watch(0, 5).watched(0, 4), putOf(6, 8).value("x", 3),
	}, Order),
	Entry("is good if the precondition of a put holds", []Call{
		putOf(0, 1).value("x", 1), at(2, 3, Put, "g.m", 200).value("y", 2), putOf(4, 5).ifAt(1).value("z", 3),
	}),
	Entry("is bad if a conditional put succeeds over a later one", []Call{
		putOf(0, 1).value("x", 1), putOf(2, 3).value("y", 2), putOf(4, 5).ifAt(1).value("z", 3),
	}, Order),
	Entry("is bad if a conditional put without a definite answer is seen to have succeeded over a later one", []Call{
		putOf(0, 1).value("x", 1), putOf(2, 3).value("y", 2), withoutAnswer(putOf(4, 5).ifAt(1).value("z", 0)), readOf(6, 7).value("z", 3),
	}, Order),

	// Reads.
	Entry("is good if a read is as new as what was acknowledged when it was sent", []Call{
		putOf(0, 5).value("x", 1), putOf(6, 9).value("y", 2), readOf(8, 12).value("x", 1),
	}),
	Entry("is bad if a read is older than an acknowledged put", []Call{putOf(0, 5).value("x", 1), putOf(6, 8).value("y", 2), readOf(9, 12).value("x", 1)}, Stale),
	Entry("is bad if a key is missing", []Call{putOf(0, 5).value("x", 1), at(6, 8, Read, "g.k", 404)}, Stale),
	Entry("is good if a key is missing before its put", []Call{at(0, 6, Read, "g.k", 404), putOf(0, 5).value("x", 1)}),
	Entry("is bad if a key is missing in a final read", []Call{putOf(0, 5).value("x", 1), at(6, 8, Read, "g.k", 404).final()}, Lost),
	Entry("is bad if a value is read that no client put", []Call{readOf(0, 5).value("x", 1)}, Mixed),
	Entry("is bad if a value was put to another key", []Call{
		at(0, 5, Put, "g.m", 0).value("x", 0), readOf(6, 8).value("x", 1),
	}, Mixed),
	Entry("is bad if a value has two revisions", []Call{
		withoutAnswer(putOf(0, 5).value("x", 0)), readOf(6, 8).value("x", 1), readOf(9, 10).value("x", 2),
	}, Mixed),

	// Rejected puts.
	Entry("is good if a 412 contains the key's revision", []Call{putOf(0, 5).value("x", 1), withStatus(putOf(6, 8).ifAt(0).value("y", 1), 412)}),
	Entry("is good if a 412 contains the revision of a put without a definite answer", []Call{
		withoutAnswer(putOf(0, 5).value("x", 0)), withStatus(putOf(6, 8).ifAt(0).value("y", 1), 412),
	}),
	Entry("is bad if a 412 contains a revision of no put", []Call{
		putOf(0, 5).value("x", 1), withStatus(putOf(6, 8).ifAt(0).value("y", 3), 412),
	}, Mixed),
	Entry("is bad if a 412 contains a revision of another key", []Call{
		putOf(0, 5).value("x", 1), at(6, 8, Put, "g.m", 200).value("z", 2), withStatus(putOf(9, 10).ifAt(0).value("y", 2), 412),
	}, Mixed),
	Entry("is bad if a put answered with 412 is visible", []Call{
		putOf(0, 5).value("x", 1), withStatus(putOf(6, 8).ifAt(5).value("y", 1), 412), readOf(9, 10).value("y", 2),
	}, Refused),
	Entry("is bad if a put answered with 412 succeeds over a later one", []Call{
		putOf(0, 5).value("x", 1), withStatus(putOf(6, 8).ifAt(0).value("y", 1), 412), readOf(9, 10).value("y", 2),
	}, Refused, Order),
	Entry("is bad if a put answered with 503 is visible", []Call{
		withStatus(putOf(0, 5).value("x", 0), 503), watch(6, 8).watched(0, 1), watch(9, 10).watched(0, 1, event("g.k", "x", 1)),
	}, Refused),
	Entry("is good if a put is visible whose first attempt had no definite answer before a 503", []Call{
		withoutAnswer(putOf(0, 5).value("x", 0)), withStatus(putOf(6, 8).value("x", 0), 503), readOf(9, 10).value("x", 1),
	}),

	// Watches.
	Entry("is good if a watch delivers all puts of its range", []Call{
		putOf(0, 1).value("x", 1), putOf(2, 3).value("y", 2), putOf(4, 5).value("z", 3),
		watch(6, 7).watched(1, 2, event("g.k", "y", 2)), watch(8, 9).watched(2, 3, event("g.k", "z", 3)),
	}),
	Entry("is bad if a watch skips a put", []Call{
		putOf(0, 1).value("x", 1), putOf(2, 3).value("y", 2), putOf(4, 5).value("z", 3), watch(6, 7).watched(1, 3, event("g.k", "z", 3)),
	}, Order),
	Entry("is bad if events are not in increasing order", []Call{
		putOf(0, 1).value("x", 1), putOf(2, 3).value("y", 2), putOf(4, 5).value("z", 3),
		watch(6, 7).watched(1, 3, event("g.k", "z", 3), event("g.k", "y", 2)),
	}, Order),
	Entry("is bad if an event is outside of the range of its watch", []Call{
		putOf(0, 1).value("x", 1), putOf(2, 3).value("y", 2), watch(6, 7).watched(1, 1, event("g.k", "y", 2)),
	}, Order),
	Entry("is bad if a watch falls behind", []Call{watch(0, 1).watched(0, 5), watch(2, 3).watched(5, 4)}, Order),
	Entry("is bad if a final watch lacks an acknowledged put", []Call{
		putOf(0, 1).value("x", 1), putOf(2, 3).value("y", 2), watch(4, 5).watched(1, 1).final(),
	}, Lost),
	Entry("is bad if a revision that was received recently is gone", []Call{
		watch(0, 1).watched(0, 5), withStatus(watch(19_000, 19_001).watched(5, 0), 410),
	}, Lost),
	Entry("is good if a revision that was received long ago is gone", []Call{
		watch(0, 1).watched(0, 5), withStatus(watch(20_500, 20_501).watched(5, 0), 410),
	}),

	// Configurations.
	Entry("is good if one of two changes of a version is acknowledged", []Call{
		change(0, 5).configuration(1, 2, "x"), withStatus(change(0, 5).configuration(1, 2, "y"), 412).byClient("b"),
		at(6, 8, ReadConfiguration, "", 200).configuration(0, 2, "x"),
	}),
	Entry("is bad if both of two changes of a version are acknowledged", []Call{
		change(0, 5).configuration(1, 2, "x"), change(0, 5).configuration(1, 3, "y").byClient("b"),
	}, Config),
	Entry("is bad if an older version is read", []Call{
		change(0, 5).configuration(1, 2, "x"), change(6, 8).configuration(2, 3, "y"), at(9, 10, ReadConfiguration, "", 200).configuration(0, 2, "x"),
	}, Config),
	Entry("is bad if other content than the acknowledged one is read", []Call{
		change(0, 5).configuration(1, 2, "x"), withStatus(change(0, 5).configuration(1, 2, "y"), 0).byClient("b"),
		at(6, 8, ReadConfiguration, "", 200).configuration(0, 2, "y"),
	}, Config),
	Entry("is bad if a rejected change is in force", []Call{
		withStatus(change(0, 5).configuration(1, 2, "x"), 412), at(6, 8, ReadConfiguration, "", 200).configuration(0, 2, "x"),
	}, Config),
	Entry("is good if a change that was answered with 503 is in force", []Call{
		withStatus(change(0, 5).configuration(1, 2, "x"), 503), at(6, 8, ReadConfiguration, "", 200).configuration(0, 2, "x"),
	}),
	Entry("is bad if the newest version is missing in a final read", []Call{
		change(0, 5).configuration(0, 1, "x"), at(6, 8, ReadConfiguration, "", 200).final(),
	}, Lost),
)
