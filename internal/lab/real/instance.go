package real

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
	"dykering/internal/lab/model"
)

// instance is an instance of the broker with its slot, its discovery and its current process.
type instance struct {
	model     *model.Instance
	slot      Slot
	url       string
	discovery *Discovery
	// The platform's configuration file.
	file string
	// The operator's file; empty if there is none.
	operator string
	client   *http.Client
	name     string
	zone     int
	// The process that serves; nil while none does.
	process Broker
	// A process that was told to stop and has no successor yet.
	stopping Broker
	// All processes that were started.
	processes []Broker
}

// addInstance creates an instance and starts its process.
func (run *scenarioRun) addInstance(in *model.Instance) error {
	name, zone := fmt.Sprintf("broker-%d-%d", in.Tier.Index, in.Ordinal), 0
	if len(in.Tier.Servers) > 0 {
		zone = in.Ordinal % max(run.world.Scenario.Servers.Zones, 1)
	}
	slot, err := run.environment.NewSlot(name, zone)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext: run.environment.Dial, MaxIdleConnsPerHost: 1024, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}
	i := &instance{model: in, name: name, zone: zone, slot: slot, url: "http://" + slot.Address(), client: client}
	run.instances = append(run.instances, i)
	l, err := run.environment.Listen(discoveryName(name), zone, "")
	if err != nil {
		return err
	}
	i.discovery = serveDiscovery(l, nil)
	for _, e := range run.world.List(in).Entries {
		i.discovery.AnnounceTarget(run.target(e))
	}
	i.file = filepath.Join(slot.Dir(), "config.json")
	if err := run.configure(i); err != nil {
		return err
	}
	if run.fleet != nil && in.Tier.Index == 0 {
		if err := run.fleet.addMember(i, name, slot.Dir()); err != nil {
			return err
		}
	}
	i.process, err = run.start(i)
	return err
}

// configure writes the platform's configuration file of an instance.
func (run *scenarioRun) configure(i *instance) error {
	text, err := json.MarshalIndent(map[string]any{
		"name": i.name, "listen": i.slot.Address(), "discovery": i.discovery.Address,
		"seed":     fmt.Sprintf("%x", run.world.Seed(i.model)),
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"settings": platformSettings(run.world, i.model),
	}, "", " ")
	if err != nil {
		return err
	}
	next := i.file + ".new" // renamed into place, since a process may be reading the file
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, i.file)
}

// start starts a process of an instance and watches it: a process that exits by itself fails the run,
// and one that its environment kills is replaced after restartDelay.
func (run *scenarioRun) start(i *instance) (Broker, error) {
	p, err := i.slot.Start(i.file, i.operator)
	if err != nil {
		return nil, err
	}
	i.processes = append(i.processes, p)
	run.goroutines.Go(func() {
		kill, allowKill := killPending(p)
		defer allowKill()
		select {
		case <-kill:
			excused := make(chan struct{})
			run.post(func() {
				defer close(excused)
				run.excuseRequests(i.model) // as in Kill
				if i.process == p {
					i.process = nil
					run.After(restartDelay, func() { run.startSuccessor(i, nil) })
				}
			})
			select {
			case <-excused:
			case <-run.done:
			}
			return
		case <-p.Done():
		case <-run.ctx.Done():
			return
		}
		run.post(func() {
			if i.process == p && i.stopping != p {
				run.fail(p.Failure("exited by itself"))
			}
		})
	})
	return p, nil
}

// platformSettings returns the "settings" section of an instance's configuration file.
func platformSettings(w *model.World, in *model.Instance) map[string]any {
	set := w.Settings(in)
	micros := func(d time.Duration) int64 { return d.Microseconds() }
	effects := map[decision.Effect]string{
		decision.Safe: "read_like", decision.Keyed: "idempotency_key", decision.Unsafe: "non_idempotent",
	}
	var classes, tenants []map[string]any
	for _, c := range set.Classes {
		class := map[string]any{
			"name": c.Name, "aim": micros(c.LatencyTarget), "deadline": micros(c.Deadline), "gain": c.Value,
			"effect": effects[c.Effect], "window": micros(c.Window),
		}
		if c.Effect == decision.Keyed {
			class["keyScope"] = c.Scope
		}
		classes = append(classes, class)
	}
	for _, t := range set.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "quotaPerS": t.QuotaPerS})
	}
	var tiers, zones, models []string
	for i := range w.Tiers {
		tiers = append(tiers, fmt.Sprint("tier", i))
	}
	for i := range w.Scenario.Servers.Zones {
		zones = append(zones, zoneName(i))
	}
	for _, k := range w.Scenario.Kinds {
		models = append(models, k.Name)
	}
	return map[string]any{
		"allowed": map[string]any{
			"cancel": set.MayCancel, "connIdle": micros(serverIdleTimeout), "connectTimeout": micros(set.ConnectTimeout),
			"maxRetryAfter": micros(set.MaxRetryAfter), "retryAfter": set.MaxRetryAfter > 0, "sendCap": set.MaxAttempts,
		},
		"clientHabits": map[string]any{"marksRetry": set.ClientsMarkRetries}, "discovery": "push", "models": models, "zones": zones,
		"goal": map[string]any{"whole": set.GoalTotal, "worstClass": set.GoalWorstClass}, "instances": set.Instances,
		"ordinal": set.Ordinal, "stage": set.Stage, "tiers": tiers, "quantum": micros(set.Quantum),
		"services": classes, "tenants": tenants,
		"rules": map[string]any{
			"cold": micros(set.WarmUp), "coldFrom": set.ColdCapacity, "fall": micros(set.OverloadWindow),
			"graceToAnswer": micros(model.Grace), "tipMultiple": set.OverloadMultiple,
		},
	}
}

func zoneName(i int) string { return fmt.Sprint("zone-", i) }

// target converts an endpoint entry to its form in the discovery.
func (run *scenarioRun) target(e decision.Entry) core.Target {
	t := core.Target{
		UID: fmt.Sprintf("server-%08x", uint32(e.Endpoint)), Address: run.servers[int(e.Endpoint)-1].address,
		Zone: zoneName(e.Zone), Model: run.world.Scenario.Kinds[e.Kind].Name, Cell: e.Cell, Weight: e.Weight,
		State: [...]string{"Ready", "Terminating", "Gone"}[e.State],
	}
	if e.Started > 0 {
		t.BootMS = run.at(e.Started).UnixMilli()
	}
	return t
}

// instanceOf returns the instance of a model instance. PlayOn adds instances in reverse order.
func (run *scenarioRun) instanceOf(in *model.Instance) *instance {
	return run.instances[len(run.instances)-1-in.Index]
}
