package real

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"dykering/internal/fleet/gossip"
	"dykering/internal/lab/faultnet"
	"dykering/internal/lab/loopback"
	"dykering/internal/lab/model"
)

// fleet connects the brokers of the first tier by gossip through a relay, in scenarios that enable a
// fleet. Its maps are keyed by member id.
type fleet struct {
	run       *scenarioRun
	relay     *faultnet.Relay
	members   map[string]*instance
	addresses map[string]string
	// The gossip address of the first member, which the others use as their seed.
	seed string
}

// fleetSettings is the format of the brokers' operator file. The short probe interval makes failure
// detection, which takes minutes with usual settings, fit into a short run.
const fleetSettings = `version = 1
[log]
format = "json"
[fleet]
enabled = true
id = %q
bind = %q
seeds = %s
relay = %q
probe_interval = "200ms"
probe_timeout = "100ms"
suspicion_mult = 5
dead_kept = "120s"
`

// viewTimeout is the timeout of the request for one broker's view at the end of a run.
const viewTimeout = 2 * time.Second

func newFleet(run *scenarioRun, seed uint64) (*fleet, error) {
	r, err := faultnet.New(seed)
	if err != nil {
		return nil, err
	}
	return &fleet{run: run, relay: r, members: map[string]*instance{}, addresses: map[string]string{}}, nil
}

// addMember writes the operator file of an instance. The processes of the instance are started with it.
func (f *fleet) addMember(i *instance, id, dir string) error {
	addr, seeds := loopback.Address(), "[]"
	if f.seed == "" {
		f.seed = addr
	} else {
		seeds = fmt.Sprintf("[%q]", f.seed)
	}
	f.members[id], f.addresses[id] = i, addr
	path := filepath.Join(dir, "operator.toml")
	text := fmt.Sprintf(fleetSettings, id, addr, seeds, f.relay.Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	i.operator = path
	return nil
}

// play applies the scenario's network faults until the last one or until the run ends.
func (f *fleet) play(ctx context.Context, faults []faultnet.Step) {
	if err := faultnet.Play(ctx, &faultnet.Schedule{Steps: faults}, f.relay, f); err != nil && ctx.Err() == nil {
		f.run.fail(err)
	}
}

// Addr implements faultnet.Fleet, as do Signal and Start.
func (f *fleet) Addr(id string) string { return f.addresses[id] }

// Signal sends a signal to the process of a member on the clock's goroutine.
func (f *fleet) Signal(id string, s syscall.Signal) error {
	i := f.members[id]
	if i == nil {
		return fmt.Errorf("the fleet has no member %q", id)
	}
	f.run.post(func() {
		switch {
		case s == syscall.SIGKILL:
			f.run.Kill(i.model, -1)
		case i.process != nil:
			if p, ok := i.process.(*Process); ok {
				if err := p.Signal(s); err != nil {
					f.run.fail(err)
				}
			}
		}
	})
	return nil
}

// Start starts a process of a member on the clock's goroutine, unless the member has one.
func (f *fleet) Start(id, as string) error {
	i := f.members[id]
	if i == nil {
		return fmt.Errorf("the fleet has no member %q", id)
	}
	if as != id {
		return fmt.Errorf("member %q cannot start as %q: on real sockets a process keeps its id", id, as)
	}
	f.run.post(func() {
		if i.process == nil {
			f.run.startSuccessor(i, nil)
		}
	})
	return nil
}

// views collects the brokers' views of the fleet at the end of a run. It counts the brokers per digest
// and adds up the counters.
func (f *fleet) views() (*model.Views, error) {
	v := &model.Views{Digests: map[string]int{}}
	client := http.Client{Timeout: viewTimeout}
	defer client.CloseIdleConnections()
	for id, i := range f.members {
		p, ok := i.process.(*Process)
		if !ok {
			continue
		}
		res, err := client.Get("http://" + p.control + "/-/fleet")
		if err != nil {
			return nil, fmt.Errorf("reading the fleet view of %s: %w", id, err)
		}
		var got struct {
			gossip.Snapshot
			Counters struct{ Suspicions, Refutations, Deaths, BytesOut uint64 }
		}
		err = json.NewDecoder(io.LimitReader(res.Body, 1<<20)).Decode(&got)
		res.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("reading the fleet view of %s: %w", id, err)
		}
		v.Digests[got.Digest]++
		v.Suspicions += got.Counters.Suspicions
		v.Refutations += got.Counters.Refutations
		v.Deaths += got.Counters.Deaths
		v.BytesOut += got.Counters.BytesOut
	}
	return v, nil
}
