package chain_test

import (
	"fmt"
	"time"

	"dykering/internal/chain"
)

// process is a minimal driver of a node. It persists records and then sends messages, here by direct calls.
type process struct {
	node    *chain.Node
	records []any
	others  map[string]*process
}

// handle sends the messages and persists the records of an output, in the required order.
func (p *process) handle(now time.Duration, out chain.Output) {
	p.send(now, out.ImmediateMessages)
	p.records = append(p.records, out.Records...) // a real process syncs them to its disk here
	p.send(now, out.Messages)
}

func (p *process) send(now time.Duration, messages []chain.Envelope) {
	for _, envelope := range messages {
		receiver := p.others[envelope.To]
		receiver.handle(now, receiver.node.Receive(now, envelope.Message))
	}
}

// Three members replicate a counter. The client sends a write to the head. The head answers it once the tail has persisted it.
func Example() {
	view := chain.View{Number: 1, Token: 1, Holder: "a"}
	for _, address := range []string{"a", "b", "c"} {
		view.Voters = append(view.Voters, chain.Member{ID: chain.MemberID(address), Address: address})
		view.Chain = append(view.Chain, chain.MemberID(address))
	}

	processes := map[string]*process{}
	for _, voter := range view.Voters {
		config := chain.Config{
			Self:            voter,
			Apply:           func(value any, _ []byte) any { return value.(int) + 1 },
			MaxFailures:     1,
			PingInterval:    200 * time.Millisecond,
			SuspectTimeout:  time.Second,
			ProposalTimeout: time.Second,
			LeaseDuration:   time.Second,
			TakeoverDelay:   2 * time.Second,
			ReturnDelay:     3 * time.Second,
			Jitter:          func(time.Duration) time.Duration { return 0 },
		}
		p := &process{others: processes}
		processes[voter.Address] = p
		node, out := chain.NewGenesis(config, 0, view, 0)
		p.node = node
		p.handle(0, out)
	}

	now := 100 * time.Millisecond
	for _, voter := range view.Voters {
		p := processes[voter.Address]
		p.handle(now, p.node.Tick(now)) // the pings confirm the view
	}

	head := processes["a"]
	requests := chain.NewPendingRequests(head.node, time.Second)
	head.handle(now, requests.Write(now, chain.Write{
		Decide:    func(any) chain.Decision { return chain.Decision{Operation: []byte("increment")} },
		IsApplied: func(value any) bool { return value.(int) == 1 },
		Respond:   func(err error) { fmt.Println("write answered, error:", err) },
	}))
	requests.AnswerReady(now)
	fmt.Println("committed at the tail:", processes["c"].node.CommittedState().Value)

	token, holds := head.node.HoldsLease(now)
	fmt.Println("lease at the head:", holds, "token", token)

	// Output:
	// write answered, error: <nil>
	// committed at the tail: 1
	// lease at the head: true token 1
}
