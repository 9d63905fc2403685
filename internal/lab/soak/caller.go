package soak

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"dykering/internal/lab/history"
	"dykering/internal/lab/pause"
)

const (
	// callTimeout bounds the wait for an answer. After a timeout the caller moves on to another address.
	callTimeout = time.Second
	// callsPerLostAnswer is the mean number of POST calls for each answer that the caller drops, as if the network had lost it.
	callsPerLostAnswer = 30
)

// caller calls the control processes over a keep-alive connection and records each call. It is not safe for concurrent use.
type caller struct {
	name         string
	addresses    []string
	addressIndex int // index of the address in use
	client       *http.Client
	recorder     *history.Recorder
	random       *rand.Rand
	done         <-chan struct{}
	// acknowledged receives the address of each acknowledgement while a fault waits for one.
	acknowledged chan<- string
	// final marks the recorded calls as made after the final restart. Answers of final calls are never dropped.
	final bool
}

// newCaller returns a caller that draws from its own random stream.
func (s *system) newCaller(name string, stream uint64) *caller {
	return &caller{
		name: name, addresses: s.addresses, addressIndex: int(stream) % len(s.addresses), recorder: s.recorder, done: s.clientsDone,
		acknowledged: s.acknowledged,
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		random:       rand.New(rand.NewPCG(s.Seed, stream)),
	}
}

// request is the HTTP request of a call.
type request struct {
	method, path string
	body         any
	header       map[string]string
	wait         time.Duration // added to callTimeout, for long polls
}

// call sends a request and records the call. It decodes the body into answer; keep then copies the decoded fields into the call.
func (c *caller) call(call history.Call, r request, answer any, keep func(*history.Call)) history.Call {
	call.Client, call.Final, call.Address = c.name, c.final, c.addresses[c.addressIndex]
	call.Sent = c.recorder.Now()
	call.Status = c.send(r, answer)
	call.Received = c.recorder.Now()
	if !c.final && r.method == http.MethodPost && c.random.IntN(callsPerLostAnswer) == 0 {
		call.Status = 0
	}
	if keep != nil && (call.Status == http.StatusOK || call.Status == http.StatusPreconditionFailed) {
		keep(&call)
	}
	if call.Status == 0 || call.Status >= http.StatusInternalServerError || call.Status == http.StatusTooManyRequests {
		c.addressIndex = (c.addressIndex + 1) % len(c.addresses)
	}
	c.recorder.Add(call)
	if call.Status == http.StatusOK && r.method == http.MethodPost {
		c.notifyAcknowledged(call.Address)
	}
	return call
}

// notifyAcknowledged passes the address of an acknowledgement to a waiting fault, if there is one.
func (c *caller) notifyAcknowledged(address string) {
	select {
	case c.acknowledged <- address:
	default:
	}
}

// send sends a request and returns the status of the answer, or 0 if no complete answer arrived.
func (c *caller) send(r request, answer any) int {
	var body io.Reader
	if r.body != nil {
		text, err := json.Marshal(r.body)
		if err != nil {
			return 0
		}
		body = bytes.NewReader(text)
	}
	httpRequest, err := http.NewRequest(r.method, "http://"+c.addresses[c.addressIndex]+r.path, body)
	if err != nil {
		return 0
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	for name, value := range r.header {
		httpRequest.Header.Set(name, value)
	}
	c.client.Timeout = callTimeout + r.wait
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	hasBody := response.StatusCode == http.StatusOK || response.StatusCode == http.StatusPreconditionFailed
	if hasBody && answer != nil && json.Unmarshal(text, answer) != nil && response.StatusCode == http.StatusOK {
		return 0
	}
	return response.StatusCode
}

// pause waits for a random time between least and most. It returns false if the clients must stop meanwhile.
func (c *caller) pause(least, most time.Duration) bool {
	return pause.For(c.done, drawDuration(c.random, least, most))
}

func drawDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}

func choose[T any](random *rand.Rand, choices []T) T { return choices[random.IntN(len(choices))] }
