package upgrade

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// requestPause is the time between two requests of the clients.
const requestPause = 15 * time.Millisecond

// clients send requests to the proxies, in turn.
type clients struct {
	proxies []string
	client  http.Client

	mu      sync.Mutex
	number  int
	answers map[int]int // by status; 0 for no answer
}

func newClients(proxies []string) *clients {
	return &clients{proxies: proxies, client: http.Client{Timeout: 4 * time.Second}, answers: map[int]int{}}
}

// run sends requests until the scenario ends.
func (c *clients) run(done <-chan struct{}) {
	for pause(done, requestPause) {
		c.request(modelName(0))
	}
}

// request sends one request and returns the status of its answer. A proxy that cannot be reached is passed over, as a load
// balancer does.
func (c *clients) request(model string) int {
	c.mu.Lock()
	c.number++
	number := c.number
	c.mu.Unlock()
	status := 0
	for i := range c.proxies {
		proxy := c.proxies[(number+i)%len(c.proxies)]
		if status = c.send(proxy, fmt.Sprintf("%08x%08x", number, i), model); status != 0 {
			break
		}
	}
	c.mu.Lock()
	c.answers[status]++
	c.mu.Unlock()
	return status
}

func (c *clients) send(proxy, id, model string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+proxy+requestPath+id, nil)
	if err != nil {
		return 0
	}
	request.Host = routeHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", model)
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := c.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
