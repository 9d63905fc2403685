package decision_test

import (
	"fmt"
	"time"

	"dykering/internal/decision"
)

// printer is a Host that prints the actions of a Balancer.
type printer struct{}

func (printer) Send(id decision.RequestID, to decision.EndpointID, _, _ time.Duration) {
	fmt.Println("send", id, "to", to)
}
func (printer) Refuse(id decision.RequestID, _ time.Duration) { fmt.Println("refuse", id) }
func (printer) Fail(id decision.RequestID)                    { fmt.Println("fail", id) }
func (printer) Cancel(decision.RequestID, int)                {}
func (printer) SetTimer(uint64, time.Duration)                {}
func (printer) Watch(bool)                                    {}
func (printer) Fetch()                                        { fmt.Println("fetch the list") }
func (printer) Log(text string)                               { fmt.Println("log:", text) }

// A Balancer receives events with their times and acts through its Host.
func Example() {
	b, err := decision.New(decision.Settings{
		Instances: 1, Quantum: time.Millisecond, MaxAttempts: 3, ConnectTimeout: 100 * time.Millisecond,
		ColdCapacity: 0.2, WarmUp: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		Classes: []decision.Class{{
			Name: "lookup", LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1,
			Effect: decision.Safe,
		}},
	}, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	b.Targets(now, decision.List{Kind: decision.FullList, Version: 5, Entries: []decision.Entry{
		{Endpoint: 11}, {Endpoint: 12, State: decision.Draining},
	}})
	b.Request(now, decision.Request{ID: "a", Remaining: 2 * time.Second})
	b.Outcome(now+20*time.Millisecond, decision.Outcome{
		ID: "a", Endpoint: 11, Status: decision.OK, Final: true,
		Elapsed: 20 * time.Millisecond,
	})
	b.Request(now+time.Second, decision.Request{ID: "b", Remaining: 2 * time.Second})
	b.Targets(now+time.Second, decision.List{Kind: decision.DeltaList, Version: 6, Entries: []decision.Entry{
		{Endpoint: 12},
	}})
	b.Outcome(now+time.Second, decision.Outcome{ID: "b", Endpoint: 11, Status: decision.Reset})
	// Output:
	// send a to 11
	// send b to 11
	// log: endpoint 11 isolated: connection reset (list version 5)
	// fetch the list
	// send b to 12
}
