package requestsoak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Shares of the requests, or of the responses, for which an endpoint misbehaves.
const (
	ownFailureShare     = 0.02 // it runs the request and answers 500
	cutShare            = 0.01 // it breaks off in the middle of its response
	resetShare          = 0.01 // it runs the request and resets the connection
	silentCloseShare    = 0.01 // it runs the request and closes the connection
	garbageShare        = 0.005
	unframedShare       = 0.02 // a response without a length, which ends with the connection
	earlyRejectionShare = 0.3  // a full endpoint rejects a request before it has read the body
	unframedStreamShare = 0.4  // a stream without a length
	streamCutShare      = 0.15 // it breaks off a stream
	earlyRunShare       = 0.05 // it runs a request, and may respond, before it has read the body
	earlyLongRunShare   = 0.5  // the same of requests with long bodies
	lateReadShare       = 0.6  // it then reads a long body after some time only
	earlyResetShare     = 0.3  // it resets the connection in place of reading such a body
	smallBufferShare    = 0.5  // endpoints whose receive buffers hold little
	bodyStallShare      = 0.05 // it waits before it reads a body
	bodyResetShare      = 0.01 // it resets the connection in the middle of a body
	closeHeaderShare    = 0.02 // it announces that it closes the connection after a response
	surplusShare        = 0.3  // it sends its response once more
	delayedShare        = 0.5  // such a response is sent after some time, and others where the next one is due
	fragmentShare       = 0.15 // such a repeated response breaks off
	headFragmentShare   = 0.7  // such a response breaks off within its head
	longBodyShare       = 0.03
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

// happens returns true in a share of the calls.
func (d *dice) happens(share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < share
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
		share   float64
		outcome runOutcome
	}{
		{ownFailureShare, failsItself},
		{cutShare, cutsOff},
		{resetShare, resets},
		{silentCloseShare, closesSilently},
		{garbageShare, sendsGarbage},
		{unframedShare, answersUnframed},
	} {
		if drawn -= o.share; drawn < 0 {
			return o.outcome
		}
	}
	return answers
}
