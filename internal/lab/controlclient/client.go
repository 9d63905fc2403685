package controlclient

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// callTimeout bounds each call.
const callTimeout = time.Second

// Client calls control processes. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      http.Client

	mu   sync.Mutex
	next int // index of the address in use, modulo the number of addresses
}

// New returns a client of the control processes at the addresses.
func New(addresses []string) *Client {
	return &Client{addresses: addresses, http: http.Client{Timeout: callTimeout}}
}

// Address returns the address in use.
func (c *Client) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[c.next%len(c.addresses)]
}

// advance goes on to the next address.
func (c *Client) advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
}

// Post sends a body as JSON and returns the status of the answer, or 0 if no answer arrived. After a failure the client uses the
// next address.
func (c *Client) Post(path string, body any, header map[string]string) int {
	text, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.Address()+path, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.advance()
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		c.advance()
	}
	return response.StatusCode
}

// Get reads a document as JSON into answer. It returns false if that failed; the client then uses the next address.
func (c *Client) Get(path string, answer any) bool {
	response, err := c.http.Get("http://" + c.Address() + path)
	if err != nil {
		c.advance()
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(answer) != nil {
		c.advance()
		return false
	}
	return true
}
