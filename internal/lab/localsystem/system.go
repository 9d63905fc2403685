package localsystem

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/chain"
	"dykering/internal/controlplane"
	"dykering/internal/lab/localprocess"
	"dykering/internal/protocol"
)

// stepTimeout is within what time the system must be whole again after a step.
const stepTimeout = 20 * time.Second

const (
	controlCount = 3
	proxyCount   = 2
)

// initialEndpoints is the number of endpoints that serve from the start. They have the first model loaded.
const initialEndpoints = 2

// System is a system on loopback. Its methods are called by one goroutine.
type System struct {
	Control   []*localprocess.Process
	Proxies   []*localprocess.Process
	Operator  *Operator
	Clients   *Clients
	Endpoints []*Endpoint

	done    <-chan struct{} // closed when the load ends
	endLoad context.CancelFunc
	workers sync.WaitGroup
}

// New makes a system that is not started yet, with settings, data and logs in a directory. It serves until the context ends.
func New(ctx context.Context, directory string) (*System, error) {
	protocol.Register()
	processes, err := localprocess.New(ctx, localprocess.Layout{
		Directory: directory, Controls: controlCount, Proxies: proxyCount, MachineFailures: 1, Bounds: localprocess.ShortBounds(),
	})
	if err != nil {
		return nil, err
	}
	s := &System{Control: processes[:controlCount], Proxies: processes[controlCount:]}
	s.Operator = newOperator(publicAddresses(s.Control))
	s.Clients = newClients(publicAddresses(s.Proxies))
	ctx, s.endLoad = context.WithCancel(ctx)
	s.done = ctx.Done()
	return s, nil
}

func publicAddresses(processes []*localprocess.Process) (addresses []string) {
	for _, p := range processes {
		addresses = append(addresses, p.Public)
	}
	return addresses
}

// Start starts the processes with a program and two endpoints, and sends the first configuration. The load begins with StartLoad.
func (s *System) Start(program localprocess.Program) error {
	for _, p := range append(append([]*localprocess.Process{}, s.Control...), s.Proxies...) {
		if err := p.Start(program); err != nil {
			return err
		}
	}
	for i := range initialEndpoints {
		if _, err := s.AddEndpoint(fmt.Sprint("e-", i), ModelName(0)); err != nil {
			return err
		}
	}
	s.Operator.change(s.done)
	return nil
}

// StartLoad has the operator change the configuration and the clients send requests until the load ends.
func (s *System) StartLoad() {
	s.workers.Go(func() { s.Operator.run(s.done) })
	s.workers.Go(func() { s.Clients.run(s.done) })
}

// AddEndpoint starts an endpoint that has some models loaded.
func (s *System) AddEndpoint(id string, models ...string) (*Endpoint, error) {
	e, err := startEndpoint(id, s.Operator, models...)
	if err != nil {
		return nil, err
	}
	s.Endpoints = append(s.Endpoints, e)
	s.workers.Go(func() { e.keepSession(s.done) })
	return e, nil
}

// Drain has an endpoint announce that it drains, and reports whether that was acknowledged.
func (s *System) Drain(e *Endpoint) bool { return e.drain(s.done) }

// AwaitWhole waits until all control processes are in the chain of a view that a majority confirms, and clients are served. It
// returns how long that took.
func (s *System) AwaitWhole() (time.Duration, error) {
	began := time.Now()
	var missing string
	for time.Since(began) < stepTimeout {
		if missing = s.notReady(); missing == "" {
			return time.Since(began).Round(time.Millisecond), nil
		}
		if !pause(s.done, retryPause) {
			return 0, errors.New("interrupted")
		}
	}
	return 0, errors.Errorf("not whole after %v: %s", stepTimeout, missing)
}

// notReady says what the system lacks to be whole; empty if it is.
func (s *System) notReady() string {
	for _, p := range s.Control {
		status, err := controlplane.AskStatus(p.InternalAddress())
		switch {
		case err != nil:
			return p.Name + ": " + err.Error()
		case !status.InForce || len(status.View.Chain) != controlCount:
			return fmt.Sprintf("%s: view %d in force %t, chain of %d", p.Name, status.View.Number, status.InForce, len(status.View.Chain))
		}
	}
	if answer := s.Clients.Request(ModelName(0)); answer.Status != http.StatusOK {
		return fmt.Sprintf("a request is answered with %d", answer.Status)
	}
	return ""
}

// View returns the view of the first control process that answers, and the processes of its chain in their order.
func (s *System) View() (chain.View, []*localprocess.Process, error) {
	var failure error
	for _, asked := range s.Control {
		status, err := controlplane.AskStatus(asked.InternalAddress())
		if err != nil {
			failure = err
			continue
		}
		return status.View, s.processesOf(status.View), nil
	}
	return chain.View{}, nil, failure
}

func (s *System) processesOf(view chain.View) (replicas []*localprocess.Process) {
	for _, id := range view.Chain {
		for _, voter := range view.Voters {
			if voter.ID != id {
				continue
			}
			for _, p := range s.Control {
				if p.InternalAddress() == voter.Address {
					replicas = append(replicas, p)
				}
			}
		}
	}
	return replicas
}

// AwaitLoad asks for a model until a request for it is served, and returns the answer and how long that took.
func (s *System) AwaitLoad(model string) (Answer, time.Duration, error) {
	for began := time.Now(); time.Since(began) < stepTimeout; {
		if answer := s.Clients.Request(model); answer.Status == http.StatusOK {
			return answer, time.Since(began).Round(time.Millisecond), nil
		}
		if !pause(s.done, retryPause) {
			return Answer{}, 0, errors.New("interrupted")
		}
	}
	return Answer{}, 0, errors.Errorf("%s was asked for and not loaded within %v", model, stepTimeout)
}

// Pause waits. It reports false if the load ends meanwhile.
func (s *System) Pause(duration time.Duration) bool { return pause(s.done, duration) }

// EndLoad ends the load and waits for its end. Then the configuration must be read as it was last acknowledged.
func (s *System) EndLoad() error {
	s.endLoad()
	s.workers.Wait()
	for began := time.Now(); !s.Operator.read(); {
		if time.Since(began) > stepTimeout {
			return errors.New("the configuration cannot be read in the end")
		}
	}
	return nil
}

// Violations returns what broke a promise. It is called after EndLoad.
func (s *System) Violations() []string {
	violations := append([]string{}, s.Operator.violations...)
	for _, e := range s.Endpoints {
		e.mu.Lock()
		violations = append(violations, e.violations...)
		e.mu.Unlock()
	}
	for status, count := range s.Clients.Answers() {
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			violations = append(violations, fmt.Sprintf("%d requests were answered with %d", count, status))
		}
	}
	return violations
}

// Close ends the load and all processes.
func (s *System) Close() {
	s.endLoad()
	s.workers.Wait()
	for _, p := range s.Control {
		p.Kill()
	}
	for _, p := range s.Proxies {
		p.Kill()
	}
	for _, e := range s.Endpoints {
		e.server.Close()
	}
}
