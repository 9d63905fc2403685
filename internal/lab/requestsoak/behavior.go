package requestsoak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Probabilities with which an endpoint misbehaves, for a request or a response.
const (
	ownFailureProbability       = 0.02 // it runs the request and answers 500
	truncationProbability       = 0.01 // it breaks off in the middle of its response
	resetProbability            = 0.01 // it runs the request and resets the connection
	silentCloseProbability      = 0.01 // it runs the request and closes the connection
	garbageProbability          = 0.005
	unframedProbability         = 0.02 // a response without a length, which ends with the connection
	earlyRejectionProbability   = 0.3  // a full endpoint rejects a request before it has read the body
	unframedStreamProbability   = 0.4  // a stream without a length
	streamTruncationProbability = 0.15 // it breaks off a stream
	earlyRunProbability         = 0.05 // it runs a request, and may respond, before it has read the body
	earlyLongRunProbability     = 0.5  // the same of requests with long bodies
	lateReadProbability         = 0.6  // it then reads a long body after some time only
	earlyResetProbability       = 0.3  // it resets the connection in place of reading such a body
	smallBufferProbability      = 0.5  // endpoints whose receive buffers hold little
	bodyStallProbability        = 0.05 // it waits before it reads a body
	bodyResetProbability        = 0.01 // it resets the connection in the middle of a body
	closeHeaderProbability      = 0.02 // it announces that it closes the connection after a response
	surplusProbability          = 0.3  // it sends its response once more
	delayedProbability          = 0.5  // such a response is sent after some time, and others where the next one is due
	fragmentProbability         = 0.15 // such a repeated response breaks off
	headFragmentProbability     = 0.7  // such a response breaks off within its head
	longBodyProbability         = 0.03
)

const (
	meanWork = 30 * time.Millisecond
	maxWork  = 600 * time.Millisecond
	// maxSurplusDelay bounds the time after which an endpoint sends a response once more.
	maxSurplusDelay = 500 * time.Millisecond
	maxBodyStall    = 400 * time.Millisecond
	// maxLateRead is longer than most clients wait for a response.
	maxLateRead    = 3 * time.Second
	maxBodyLength  = 4 << 10
	longBodyLength = 300 << 10
)

// runOutcome is how an endpoint ends the run of a request.
type runOutcome int

const (
	answers runOutcome = iota
	answersUnframed
	failsItself
	cutsOff
	resets
	closesSilently
	sendsGarbage
)

// dice draws an endpoint's or a client's behavior. It is safe for concurrent use.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newDice(seed, stream uint64) *dice { return &dice{random: rand.New(rand.NewPCG(seed, stream))} }

// happens returns true with a probability.
func (d *dice) happens(probability float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < probability
}

// number returns a number from 0 to n-1.
func (d *dice) number(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

// duration returns a duration between two bounds.
func (d *dice) duration(least, most time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return least + time.Duration(d.random.Int64N(int64(most-least)+1))
}

// exponential returns an exponentially distributed duration with a mean and an upper bound.
func (d *dice) exponential(mean, most time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(time.Duration(d.random.ExpFloat64()*float64(mean)), most)
}

// outcome draws how a run ends.
func (d *dice) outcome() runOutcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	drawn := d.random.Float64()
	for _, o := range []struct {
		probability float64
		outcome     runOutcome
	}{
		{ownFailureProbability, failsItself},
		{truncationProbability, cutsOff},
		{resetProbability, resets},
		{silentCloseProbability, closesSilently},
		{garbageProbability, sendsGarbage},
		{unframedProbability, answersUnframed},
	} {
		if drawn -= o.probability; drawn < 0 {
			return o.outcome
		}
	}
	return answers
}
