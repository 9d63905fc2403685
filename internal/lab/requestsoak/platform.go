package requestsoak

import (
	"net/http"
	"sync"
	"time"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/pause"
)

const (
	readinessInterval = time.Second
	// maxMissedChecks is the number of failed readiness checks in a row after which a proxy gets no new connections.
	maxMissedChecks = 2
)

// platform passes the clients' new connections to the proxies that are ready, as the platform's address does.
type platform struct {
	proxies []*localprocess.Process
	checker http.Client

	mu     sync.Mutex
	missed map[*localprocess.Process]int // failed readiness checks in a row
}

func newPlatform(proxies []*localprocess.Process) *platform {
	return &platform{
		proxies: proxies, missed: map[*localprocess.Process]int{},
		checker: http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// checkReadiness checks the readiness of a proxy until done is closed.
func (p *platform) checkReadiness(proxy *localprocess.Process, done <-chan struct{}) {
	for pause.For(done, readinessInterval) {
		p.record(proxy, p.isReady(proxy))
	}
}

// isReady asks a proxy whether it is ready.
func (p *platform) isReady(proxy *localprocess.Process) bool {
	response, err := p.checker.Get("http://" + proxy.Readiness + "/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *platform) record(proxy *localprocess.Process, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ready {
		p.missed[proxy] = 0
		return
	}
	p.missed[proxy]++
}

// proxyFor returns a random proxy among those that get new connections: all of them if fewer than half are ready.
func (p *platform) proxyFor(d *dice) *localprocess.Process {
	p.mu.Lock()
	var ready []*localprocess.Process
	for _, proxy := range p.proxies {
		if p.missed[proxy] < maxMissedChecks {
			ready = append(ready, proxy)
		}
	}
	p.mu.Unlock()
	if len(ready) < (len(p.proxies)+1)/2 {
		ready = p.proxies
	}
	return ready[d.number(len(ready))]
}
