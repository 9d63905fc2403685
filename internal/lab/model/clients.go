package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/scenario"
)

// operation is a unit of work that a client wants executed once. It takes one request or, with retries,
// several.
type operation struct {
	number    int
	class     int
	team      int
	work      float64
	createdAt time.Duration
	deadline  time.Duration
	instance  *Instance
	// requests counts the requests that were sent, including the first one.
	requests int
	// finished is set once the client has a final outcome.
	finished bool
}

// origin returns the identifier of the operation for the checker. All of its requests carry it.
func (op *operation) origin() string { return fmt.Sprint(op.number) }

// scheduleArrival schedules the next arrival of clients. Rate is the base rate in requests per second. Each
// arrival schedules the following one until the scenario's duration is over.
func (w *World) scheduleArrival(rate float64) {
	callers := w.Scenario.Callers
	wave := 1 + callers.RateAmplitude*math.Sin(2*math.Pi*(w.Now()-Origin).Minutes())
	presentRate := max(rate*(w.rateFactor+w.excessShare())*wave, 1e-9)
	n, wait := 1, 1/presentRate
	switch callers.Arrivals {
	case "poisson":
		wait *= w.callerRandom.ExpFloat64()
	case "groups":
		n = callers.GroupSize
		wait *= w.callerRandom.ExpFloat64() * float64(n)
	}
	w.After(time.Duration(wait*float64(time.Second)), func() {
		if w.Now() >= Origin+time.Duration(w.Scenario.Duration) {
			return
		}
		for range n {
			w.createOperation()
		}
		w.scheduleArrival(rate)
	})
}

// createOperation creates a random operation and sends its first request. If the limit on open operations is
// reached, the operation is counted as suppressed and not sent.
func (w *World) createOperation() {
	s := w.Scenario
	class := scenario.Pick(w.callerRandom, len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	total := w.rateFactor + w.excessShare()
	op := &operation{
		number: w.operationCount, class: class,
		team: scenario.Pick(w.callerRandom, len(s.Teams), func(i int) float64 {
			return s.Teams[i].Share * (w.rateFactor + w.floodShares[i]) / total
		}),
		work: s.Classes[class].Draw(w.callerRandom), createdAt: w.Now(), instance: w.chooseInstance(),
		deadline: w.Now() + time.Duration(s.Classes[class].Deadline),
	}
	w.operationCount++
	if w.openOperations >= s.Callers.MaxOpen {
		w.Result.Suppressed++
		return
	}
	w.openOperations++
	w.Result.recordOffered(w, op)
	w.sendRequest(op)
}

// excessShare returns the load that flooding teams offer beyond their shares, as a fraction of the total base
// load.
func (w *World) excessShare() (sum float64) {
	for i, team := range w.Scenario.Teams {
		sum += team.Share * w.floodShares[i]
	}
	return sum
}

// chooseInstance draws the instance to which a client connects. With a hot factor, one in ten instances gets
// the mean load multiplied by the factor.
func (w *World) chooseInstance() *Instance {
	all, hot := w.Tiers[0].Instances, w.Scenario.Callers.HotFactor
	hotCount := (len(all) + 9) / 10
	share := hot * float64(hotCount) / float64(len(all))
	if hot == 1 || share >= 1 {
		return all[w.callerRandom.IntN(len(all))]
	}
	if w.hotOrder == nil {
		w.hotOrder = Stream(w.seed, "hot", 0).Perm(len(all))
		if w.Scenario.Callers.HotContiguous {
			slices.Sort(w.hotOrder)
		}
	}
	if w.callerRandom.Float64() < share {
		return all[w.hotOrder[w.callerRandom.IntN(hotCount)]]
	}
	return all[w.hotOrder[hotCount+w.callerRandom.IntN(len(all)-hotCount)]]
}

// sendRequest sends the next request of an operation to its instance and starts the client's
// timeout.
func (w *World) sendRequest(op *operation) {
	remaining := op.deadline - w.Now()
	if timeout := time.Duration(w.Scenario.Callers.AttemptTimeout); timeout > 0 {
		remaining = min(remaining, timeout)
	}
	op.requests++
	w.Result.Requests++
	request := &Request{
		ID: decision.RequestID(fmt.Sprintf("%d/%d", op.number, op.requests)), Origin: op.origin(), Class: op.class, Team: op.team,
		Work: op.work, Instance: op.instance, Deadline: w.Now() + remaining,
		IsRetry: w.Scenario.Callers.MarksRetries && op.requests > 1, Requester: w, operation: op,
	}
	w.After(w.Latency(), func() { w.brokers.Accept(request) })
	w.After(remaining, func() {
		if request.Completed || op.finished {
			return
		}
		request.Completed = true // the client has reached its timeout
		w.After(w.Latency(), func() { w.brokers.Abandon(request) })
		w.retry(op, 0, timedOut)
	})
}

// Complete implements Requester for clients. It receives the outcome of a request, and retries or finishes
// the operation.
func (w *World) Complete(request *Request, outcome string, retryAfter time.Duration) {
	op := request.operation
	if request.Completed || op.finished {
		return
	}
	request.Completed = true
	switch {
	case outcome == Served:
		w.finishOperation(op, Served)
	case outcome == Refused || outcome == Unreachable || w.Scenario.Classes[op.class].Effect != string(decision.Unsafe):
		w.retry(op, retryAfter, outcome)
	default:
		w.finishOperation(op, outcome)
	}
}

// retry sends another request after the client's backoff, if the limit on attempts and the deadline allow
// it. Otherwise it finishes the operation with the last outcome.
func (w *World) retry(op *operation, retryAfter time.Duration, outcome string) {
	c := w.Scenario.Callers
	if outcome == timedOut && w.Scenario.Classes[op.class].Effect == string(decision.Unsafe) || op.requests >= c.MaxAttempts {
		w.finishOperation(op, outcome)
		return
	}
	wait := time.Duration(float64(c.Backoff) * math.Pow(2, float64(op.requests-1)) * (0.5 + 0.5*w.callerRandom.Float64()))
	if c.HonorsRetryAfter {
		wait = max(wait, retryAfter)
	}
	if w.Now()+wait >= op.deadline {
		w.finishOperation(op, outcome)
		return
	}
	w.After(wait, func() { w.sendRequest(op) })
}

// finishOperation records the final outcome of an operation.
func (w *World) finishOperation(op *operation, outcome string) {
	if op.finished {
		return
	}
	op.finished = true
	w.openOperations--
	w.Result.recordOutcome(w, op, outcome)
}
