package coordinationload

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/controlplane"
	"dykering/internal/lab/localprocess"
	"dykering/internal/protocol"
)

const (
	// startTimeout is the time within which all members must be in the chain and the service must answer.
	startTimeout = 30 * time.Second
	// startPause is the time between two checks of whether the system has started.
	startPause = 100 * time.Millisecond
	// maxInFlight bounds the concurrent operations of an open loop.
	maxInFlight = 1024

	maxCallers   = maxInFlight
	maxGroups    = 1000
	maxPerSecond = 100_000
	maxDuration  = 10 * time.Minute
)

// Load describes a load test of the coordination service.
type Load struct {
	Program localprocess.Program
	// Directory holds the settings, data and logs of the processes.
	Directory string
	// Cores is the number of control processes. Fewer than half of them may fail.
	Cores int
	// Groups is the number of groups over which the names of keys, locks and numbers are spread.
	Groups int
	// Callers is the number of concurrent callers of a closed loop.
	Callers int
	// PerSecond is the rate of an open loop. It is 0 for a closed loop.
	PerSecond float64
	Duration  time.Duration
	Mix       Mix
	Seed      uint64
}

// Validate returns an error that names the first value out of its range.
func (l *Load) Validate() error {
	switch {
	case l.Cores != 1 && l.Cores != 3 && l.Cores != 5 && l.Cores != 9:
		return errors.Errorf("%d cores: must be 1, 3, 5 or 9", l.Cores)
	case l.Groups < 1 || l.Groups > maxGroups:
		return errors.Errorf("%d groups: must be 1 to %d", l.Groups, maxGroups)
	case l.Callers < 1 || l.Callers > maxCallers:
		return errors.Errorf("%d callers: must be 1 to %d", l.Callers, maxCallers)
	case !(l.PerSecond >= 0 && l.PerSecond <= maxPerSecond):
		return errors.Errorf("rate %v: must be 0 to %d a second", l.PerSecond, maxPerSecond)
	case l.Duration <= 0 || l.Duration > maxDuration:
		return errors.Errorf("duration %v: must be above 0 and up to %v", l.Duration, maxDuration)
	}
	return nil
}

// Run starts the processes, plays the load and kills the processes.
func (l *Load) Run(ctx context.Context) (*Report, error) {
	if err := l.Validate(); err != nil {
		return nil, err
	}
	protocol.Register()
	report := &Report{tally: newTally(), LoadBefore: loadAverage()}
	var err error
	if report.SyncBefore, err = meanSyncTime(l.Directory); err != nil {
		return nil, err
	}
	processes, err := localprocess.New(ctx, localprocess.Layout{
		Directory: l.Directory, Controls: l.Cores, MachineFailures: (l.Cores - 1) / 2, Bounds: localprocess.SiteBounds(),
	})
	if err != nil {
		return nil, err
	}
	defer killAll(processes)
	for _, p := range processes {
		if err := p.Start(l.Program); err != nil {
			return nil, err
		}
	}
	if report.Before, err = l.awaitStart(ctx, processes); err != nil {
		return nil, err
	}
	l.play(ctx, processes, report)
	report.LoadAfter = loadAverage()
	if report.SyncAfter, err = meanSyncTime(l.Directory); err != nil {
		return nil, err
	}
	if report.After, err = viewOf(processes[0]); err != nil { //nolint:contextcheck // AskStatus bounds each of its steps itself
		return nil, err
	}
	return report, ctx.Err()
}

func killAll(processes []*localprocess.Process) {
	for _, p := range processes {
		p.Kill()
	}
}

// awaitStart waits until all processes are in the chain and the service returns a number. It returns the view.
func (l *Load) awaitStart(ctx context.Context, processes []*localprocess.Process) (View, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := newClient()
	defer client.CloseIdleConnections()
	first := l.newCallers(1, []string{processes[0].Public}, client, newTally())[0]
	var view View
	var err error
	for ctx.Err() == nil {
		view, err = viewOf(processes[0]) //nolint:contextcheck // AskStatus bounds each of its steps itself
		if err == nil && view.Chain == l.Cores && first.send(ctx, http.MethodPost, "/numbers/first", struct{}{}, nil) == http.StatusOK {
			return view, nil
		}
		pause(ctx, startPause)
	}
	return view, errors.Errorf("the system did not start within %v: %d of %d control processes in the chain (%v)", startTimeout, view.Chain, l.Cores, err)
}

// pause waits for the duration or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// viewOf requests the current view from a process.
func viewOf(p *localprocess.Process) (View, error) {
	status, err := controlplane.AskStatus(p.InternalAddress())
	return View{Number: status.View.Number, Chain: len(status.View.Chain)}, err
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}
}

// play sends the load and returns after the last operation has ended.
func (l *Load) play(ctx context.Context, processes []*localprocess.Process, report *Report) {
	var addresses []string
	for _, p := range processes {
		addresses = append(addresses, p.Public)
	}
	client := newClient()
	defer client.CloseIdleConnections()
	began := time.Now()
	if l.PerSecond > 0 {
		report.Unsent = l.playOpen(ctx, began, l.newCallers(maxInFlight, addresses, client, report.tally))
	} else {
		l.playClosed(ctx, began, l.newCallers(l.Callers, addresses, client, report.tally))
	}
	report.Elapsed = time.Since(began)
}

// playClosed runs a closed loop: each caller sends one operation after another.
func (l *Load) playClosed(ctx context.Context, began time.Time, callers []*caller) {
	var running sync.WaitGroup
	for _, c := range callers {
		running.Go(func() {
			for time.Since(began) < l.Duration && ctx.Err() == nil {
				c.operate(ctx, time.Now())
				if wait := c.pauseAfterFailures(); wait > 0 {
					pause(ctx, wait)
				}
			}
		})
	}
	running.Wait()
}

// playOpen runs an open loop: each operation is sent by a free caller when it is due. It returns the number of operations that were
// not sent because no caller was free.
func (l *Load) playOpen(ctx context.Context, began time.Time, callers []*caller) (unsent int) {
	free := make(chan *caller, len(callers))
	for _, c := range callers {
		free <- c
	}
	var running sync.WaitGroup
	plan := schedule{perSecond: l.PerSecond, duration: l.Duration}
	plan.play(ctx, began, func(_ int, due time.Time) {
		select {
		case c := <-free:
			running.Go(func() {
				c.operate(ctx, due)
				free <- c
			})
		default:
			unsent++
		}
	})
	running.Wait()
	return unsent
}
