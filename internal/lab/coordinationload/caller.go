package coordinationload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// callTimeout bounds the wait for an answer. It exceeds the timeout of real clients, so that the table shows slow answers.
	callTimeout     = 5 * time.Second
	maxAnswerBytes  = 64 << 10
	keysPerGroup    = 16
	numbersPerGroup = 4
	lockHold        = 10 * time.Second

	// A caller of a closed loop pauses after a failure, as clients do. The pause doubles with each consecutive failure.
	firstPause = 10 * time.Millisecond
	maxPause   = 320 * time.Millisecond
)

// caller sends one operation at a time. It uses locks of its own, so that no lock is refused, and shares keys and numbers.
type caller struct {
	name         string
	addresses    []string
	addressIndex int // index of the address in use
	groups       int
	mix          Mix
	client       *http.Client
	tally        *tally
	random       *rand.Rand
	puts         int
	failures     int // consecutive failures
}

// newCallers returns callers that start at different addresses. Each draws from its own random stream.
func (l *Load) newCallers(count int, addresses []string, client *http.Client, tally *tally) []*caller {
	var callers []*caller
	for i := range count {
		callers = append(callers, &caller{
			name: fmt.Sprintf("caller-%d", i), addresses: addresses, addressIndex: i % len(addresses), groups: l.Groups, mix: l.Mix,
			client: client, tally: tally, random: rand.New(rand.NewPCG(l.Seed, uint64(i))),
		})
	}
	return callers
}

// operate sends an operation that is drawn from the mix. Its latency counts from due.
func (c *caller) operate(ctx context.Context, due time.Time) {
	group := fmt.Sprintf("group-%d.", c.random.IntN(c.groups))
	switch c.mix.draw(c.random) {
	case Puts:
		c.put(ctx, due, group)
	case Reads:
		c.call(ctx, due, readKey, http.MethodGet, "/cells/"+c.drawKey(group)+"/read", nil, nil)
	case Locks:
		c.acquireAndRelease(ctx, due, group)
	case Numbers:
		path := fmt.Sprintf("/numbers/%s%d", group, c.random.IntN(numbersPerGroup))
		c.call(ctx, due, nextNumber, http.MethodPost, path, struct{}{}, nil)
	}
}

func (c *caller) drawKey(group string) string {
	return fmt.Sprintf("%skey-%d", group, c.random.IntN(keysPerGroup))
}

// put puts a value that is unique among all puts.
func (c *caller) put(ctx context.Context, due time.Time, group string) {
	c.puts++
	body := struct {
		Value string `json:"value"`
	}{fmt.Sprintf("%s-%d", c.name, c.puts)}
	c.call(ctx, due, putKey, http.MethodPost, "/cells/"+c.drawKey(group)+"/replace", body, nil)
}

// lockBody is the request body of calls on locks.
type lockBody struct {
	Holder string `json:"lease_holder"`
	Token  uint64 `json:"fencing_token,omitempty"`
	HoldMs int64  `json:"hold_ms,omitempty"`
}

// acquireAndRelease acquires a lock and releases it at once.
func (c *caller) acquireAndRelease(ctx context.Context, due time.Time, group string) {
	path := "/locks/" + group + c.name
	var granted struct {
		Token uint64 `json:"fencing_token"`
	}
	begin := lockBody{Holder: c.name, HoldMs: lockHold.Milliseconds()}
	if c.call(ctx, due, takeLock, http.MethodPost, path+"/begin", begin, &granted) != http.StatusOK {
		return
	}
	c.call(ctx, time.Now(), returnLock, http.MethodPost, path+"/finish", lockBody{Holder: c.name, Token: granted.Token}, nil)
}

// pauseAfterFailures returns the pause before the next operation, which is 0 if the last call succeeded.
func (c *caller) pauseAfterFailures() time.Duration {
	if c.failures == 0 {
		return 0
	}
	longest := firstPause
	for range c.failures - 1 {
		longest = min(2*longest, maxPause)
	}
	return longest/2 + time.Duration(c.random.Int64N(int64(longest/2)))
}

// call sends a request, records it and returns its status. After a failure the next call uses another address.
func (c *caller) call(ctx context.Context, due time.Time, name operation, method, path string, body, answer any) int {
	status := c.send(ctx, method, path, body, answer)
	c.tally.add(name, status, time.Since(due))
	if succeeded(name, status) {
		c.failures = 0
		return status
	}
	c.failures++
	c.addressIndex = (c.addressIndex + 1) % len(c.addresses)
	return status
}

// send sends a request and returns the status of the answer, or noAnswer if no complete answer arrived.
func (c *caller) send(ctx context.Context, method, path string, body, answer any) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return noAnswer
	}
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.addresses[c.addressIndex]+path, content)
	if err != nil {
		return noAnswer
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return noAnswer
	}
	defer response.Body.Close()
	text, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return noAnswer
	}
	if answer != nil && response.StatusCode == http.StatusOK && json.Unmarshal(text, answer) != nil {
		return noAnswer
	}
	return response.StatusCode
}
