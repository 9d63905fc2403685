package fleetscale

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// document gives a configuration of a run's size.
func (r *run) document() func(version int64) string {
	var models, routes []string
	for i := range r.options.Models {
		models = append(models, fmt.Sprintf(`{"name":"m%d","weights_size_mb":70000,"load_time_s":2,"adapters":%d,"adapter_size_mb":12}`, i,
			r.options.Adapters/max(r.options.Models, 1)))
	}
	for i := range r.options.Routes {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h%d.example","path_prefix":"/p%d/","kind":"streaming","timeout_ms":5000,"target_latency_ms":800,"service":"s","max_attempts":1}`, i, i%7, i))
	}
	return func(version int64) string {
		return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","inference_engine":{"slots":64,"weights_size_mb":220000,"adapter_slots":8,"loads_per_s":0,"models":[%s]}}]}`,
			version, strings.Join(routes, ","), strings.Join(models, ","))
	}
}

// join has all sidecars subscribe at once.
func (r *run) join(ctx context.Context, report *Report) error {
	began := time.Now()
	for i := range r.options.Sidecars {
		s := newSidecar(fmt.Sprintf("proxy-%d", i))
		r.sidecars = append(r.sidecars, s)
		go s.follow(ctx, r.controls)
	}
	err := wait(ctx, startWithin, "sidecars to join", func() bool {
		return r.all(func(s *sidecar) bool { return s.known >= r.options.Endpoints && s.version == r.operator.version })
	})
	report.JoinLast = time.Since(began)
	for _, s := range r.sidecars {
		report.WholeBytes += float64(s.whole) / float64(len(r.sidecars))
	}
	return err
}

func (r *run) all(is func(*sidecar) bool) bool {
	for _, s := range r.sidecars {
		s.mu.Lock()
		ok := is(s)
		s.mu.Unlock()
		if !ok {
			return false
		}
	}
	return true
}

// steady measures what the control plane costs while nothing changes.
func (r *run) steady(ctx context.Context, report *Report) {
	type before struct{ cpu float64 }
	var start []before
	for _, c := range r.controls {
		start = append(start, before{cpuSeconds(c.cmd.Process.Pid)})
	}
	var bytesBefore, messagesBefore int64
	for _, s := range r.sidecars {
		bytesBefore += s.bytes.Load()
		messagesBefore += s.messages.Load()
	}
	began := time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(r.options.Steady):
	}
	took := time.Since(began).Seconds()
	for i, c := range r.controls {
		report.Controls = append(report.Controls, Cost{
			CoreShare: (cpuSeconds(c.cmd.Process.Pid) - start[i].cpu) / took, MemoryMB: memoryMB(c.cmd.Process.Pid)})
	}
	var bytesAfter, messagesAfter int64
	for _, s := range r.sidecars {
		bytesAfter += s.bytes.Load()
		messagesAfter += s.messages.Load()
	}
	report.SidecarBytesPerS = float64(bytesAfter-bytesBefore) / took / float64(len(r.sidecars))
	report.SidecarMsgsPerS = float64(messagesAfter-messagesBefore) / took / float64(len(r.sidecars))
}

// changes measures how long a change takes to be in force everywhere.
func (r *run) changes(ctx context.Context, report *Report) error {
	var force, acks []time.Duration
	for range r.options.Changes {
		began := time.Now()
		times, err := r.change(ctx)
		if err != nil {
			return err
		}
		acks = append(acks, r.operator.ackedAt.Sub(began))
		force = append(force, times...)
	}
	report.Change, report.ChangeAck = timesOf(force), timesOf(acks)
	return nil
}

// change makes one change, and tells how long it took to be in force at each sidecar.
func (r *run) change(ctx context.Context) ([]time.Duration, error) {
	began := time.Now()
	if err := r.operator.change(ctx, r.document()); err != nil {
		return nil, err
	}
	version := r.operator.version
	err := wait(ctx, startWithin, "a change to be in force", func() bool {
		return r.all(func(s *sidecar) bool { return s.version >= version })
	})
	if err != nil {
		return nil, err
	}
	var times []time.Duration
	for _, s := range r.sidecars {
		s.mu.Lock()
		times = append(times, s.versions[version].Sub(began))
		s.mu.Unlock()
	}
	return times, nil
}

// drains measures how long it takes until all sidecars have heard that an endpoint leaves.
func (r *run) drains(ctx context.Context, report *Report) {
	var heard []time.Duration
	for i := range min(r.options.Changes, r.options.Endpoints) {
		id := fmt.Sprintf("i-%d", i)
		r.beats.draining.Store(id, true)
		began := time.Now()
		if !r.beats.post(ctx, r.controls[i%len(r.controls)], id, 1_000_000, "draining") {
			continue
		}
		if wait(ctx, startWithin, "a drain to be heard", func() bool {
			return r.all(func(s *sidecar) bool { return !s.drained[id].IsZero() })
		}) != nil {
			continue
		}
		for _, s := range r.sidecars {
			s.mu.Lock()
			heard = append(heard, s.drained[id].Sub(began))
			s.mu.Unlock()
		}
	}
	report.Drain = timesOf(heard)
}

// kill kills the head's process and measures how long the others take to serve all.
func (r *run) kill(ctx context.Context, report *Report) error {
	before := map[*sidecar]int64{}
	for _, s := range r.sidecars {
		before[s] = s.streams.Load()
	}
	dead := r.controls[0]
	lost := 0
	began := time.Now()
	dead.cmd.Process.Kill()
	dead.cmd.Wait()
	if err := r.operator.change(ctx, r.document()); err != nil {
		return err
	}
	report.AfterKillAck = time.Since(began)
	version := r.operator.version
	err := wait(ctx, startWithin, "sidecars to have a stream again", func() bool {
		return r.all(func(s *sidecar) bool { return s.version >= version })
	})
	report.AfterKill = time.Since(began)
	for _, s := range r.sidecars {
		if s.streams.Load() != before[s] {
			lost++
		}
	}
	return err
}

func timesOf(all []time.Duration) Times {
	if len(all) == 0 {
		return Times{}
	}
	slices.Sort(all)
	return Times{P50: all[len(all)/2], P99: all[min(len(all)*99/100, len(all)-1)], Last: all[len(all)-1]}
}

// clockTicks is how many ticks proc(5) counts in a second.
const clockTicks = 100

func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	x, _ := strconv.ParseFloat(fields[user], 64)
	y, _ := strconv.ParseFloat(fields[system], 64)
	return (x + y) / clockTicks
}

func memoryMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
