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
	"dykering/internal/lab/pause"
	"dykering/internal/protocol"
)

// stepTimeout is the time within which the system must be ready again after a step.
const stepTimeout = 20 * time.Second

// Size is the number of processes of a system, and the limits of each.
type Size struct {
	Controls, Proxies int
	// MachineFailures is the number of simultaneous failures of control processes that the system must tolerate.
	MachineFailures int
	Limits          localprocess.Limits
}

// DefaultSize returns the smallest size that tolerates the failure of a control process.
func DefaultSize() Size {
	return Size{Controls: 3, Proxies: 2, MachineFailures: 1, Limits: localprocess.DefaultLimits()}
}

// initialEndpoints is the number of endpoints that run from the start, with the first model loaded.
const initialEndpoints = 2

// System is a system on loopback. Its methods are not safe for concurrent use.
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

// New returns a system of the default size that is not started yet. Its settings, data and logs are in the directory. The load
// ends with the context.
func New(ctx context.Context, directory string) (*System, error) {
	return NewOfSize(ctx, directory, DefaultSize())
}

// NewOfSize is like New for any size.
func NewOfSize(ctx context.Context, directory string, size Size) (*System, error) {
	protocol.Register()
	processes, err := localprocess.New(ctx, localprocess.Layout{
		Directory: directory, Controls: size.Controls, Proxies: size.Proxies, MachineFailures: size.MachineFailures,
		Bounds: localprocess.ShortBounds(), Limits: size.Limits,
	})
	if err != nil {
		return nil, err
	}
	s := &System{Control: processes[:size.Controls], Proxies: processes[size.Controls:]}
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

// Start starts the processes with a program, starts the first endpoints and sends the first configuration. It starts no load.
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

// StartLoad starts the operator, which changes the configuration, and the clients, which send requests, until the load ends.
func (s *System) StartLoad() {
	s.workers.Go(func() { s.Operator.run(s.done) })
	s.workers.Go(func() { s.Clients.run(s.done) })
}

// AddEndpoint starts an endpoint with the models loaded.
func (s *System) AddEndpoint(id string, models ...string) (*Endpoint, error) {
	e, err := startEndpoint(id, s.Operator, models...)
	if err != nil {
		return nil, err
	}
	s.Endpoints = append(s.Endpoints, e)
	s.workers.Go(func() { e.keepSession(s.done) })
	return e, nil
}

// Drain announces that an endpoint drains. It returns true once that is acknowledged, and false if the load ends before.
func (s *System) Drain(e *Endpoint) bool { return e.drain(s.done) }

// AwaitReady waits until each control process reports a confirmed view whose chain contains all control processes, and a request is
// served. It returns the time that this took.
func (s *System) AwaitReady() (time.Duration, error) {
	began := time.Now()
	var reason string
	for time.Since(began) < stepTimeout {
		if reason = s.notReady(); reason == "" {
			return time.Since(began).Round(time.Millisecond), nil
		}
		if !pause.For(s.done, retryPause) {
			return 0, errors.New("the load ended while waiting for the system")
		}
	}
	return 0, errors.Errorf("the system is not ready after %v: %s", stepTimeout, reason)
}

// notReady describes why the system is not ready. It returns an empty string if the system is ready.
func (s *System) notReady() string {
	for _, p := range s.Control {
		status, err := controlplane.AskStatus(p.InternalAddress())
		switch {
		case err != nil:
			return p.Name + ": " + err.Error()
		case !status.InForce || len(status.View.Chain) != len(s.Control):
			return fmt.Sprintf("%s: view %d in force %t, chain of %d", p.Name, status.View.Number, status.InForce, len(status.View.Chain))
		}
	}
	if answer := s.Clients.Request(ModelName(0)); answer.Status != http.StatusOK {
		return fmt.Sprintf("a request is answered with %d", answer.Status)
	}
	return ""
}

// View returns the view of the first control process that answers, and the processes of its chain in chain order.
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

// AwaitLoad requests a model until a request is served. It returns the answer and the time that this took.
func (s *System) AwaitLoad(model string) (Answer, time.Duration, error) {
	for began := time.Now(); time.Since(began) < stepTimeout; {
		if answer := s.Clients.Request(model); answer.Status == http.StatusOK {
			return answer, time.Since(began).Round(time.Millisecond), nil
		}
		if !pause.For(s.done, retryPause) {
			return Answer{}, 0, errors.New("the load ended while waiting for the system")
		}
	}
	return Answer{}, 0, errors.Errorf("no request for %s was served within %v", model, stepTimeout)
}

// Pause waits for the duration. It returns false if the load ends meanwhile.
func (s *System) Pause(duration time.Duration) bool { return pause.For(s.done, duration) }

// EndLoad ends the load and waits for its goroutines. Then it checks that the last acknowledged configuration can be read.
func (s *System) EndLoad() error {
	s.endLoad()
	s.workers.Wait()
	for began := time.Now(); !s.Operator.read(); {
		if time.Since(began) > stepTimeout {
			return errors.New("no control process returned the configuration after the load")
		}
	}
	return nil
}

// Violations returns the violated guarantees. It must be called after EndLoad.
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

// Close ends the load, kills all processes and closes the endpoints.
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
