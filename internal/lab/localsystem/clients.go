package localsystem

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"dykering/internal/lab/pause"
)

// requestPause is the time between two requests of the clients.
const requestPause = 15 * time.Millisecond

// Answer is the answer to a request.
type Answer struct {
	Status int // 0 if no answer arrived
	Body   string
}

// Clients sends requests to the proxies in turn.
type Clients struct {
	proxies []string
	client  http.Client

	mu      sync.Mutex
	number  int
	answers map[int]int // number of answers by status; 0 counts requests without an answer
}

func newClients(proxies []string) *Clients {
	return &Clients{proxies: proxies, client: http.Client{Timeout: 4 * time.Second}, answers: map[int]int{}}
}

// run sends requests until done is closed.
func (c *Clients) run(done <-chan struct{}) {
	for pause.For(done, requestPause) {
		c.Request(ModelName(0))
	}
}

// Request sends one request. Like a load balancer, it tries the next proxy if one does not answer.
func (c *Clients) Request(model string) Answer {
	c.mu.Lock()
	c.number++
	number := c.number
	c.mu.Unlock()
	var answer Answer
	for i := range c.proxies {
		proxy := c.proxies[(number+i)%len(c.proxies)]
		if answer = c.send(proxy, fmt.Sprintf("%08x%08x", number, i), model); answer.Status != 0 {
			break
		}
	}
	c.mu.Lock()
	c.answers[answer.Status]++
	c.mu.Unlock()
	return answer
}

func (c *Clients) send(proxy, id, model string) Answer {
	request, err := http.NewRequest(http.MethodGet, "http://"+proxy+requestPath+id, nil)
	if err != nil {
		return Answer{}
	}
	request.Host = RouteHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", model)
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := c.client.Do(request)
	if err != nil {
		return Answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}
	}
	return Answer{Status: response.StatusCode, Body: string(body)}
}

// Answers returns the number of answers by status. Status 0 counts requests without an answer.
func (c *Clients) Answers() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.answers)
}
