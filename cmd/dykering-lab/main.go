// Command dykering-lab is the test laboratory. It simulates, benchmarks and fault-tests the broker and the control plane.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/emulation"
	"dykering/internal/lab/model"
	"dykering/internal/lab/scenario"
	"dykering/internal/lab/sim"
	"dykering/internal/validation"
)

func main() {
	args := os.Args[1:]
	if len(args) > 0 && virtualTimeCommands[args[0]] {
		runInBubbles(func(in emulation.Bubble) int { return execute(args, os.Stdout, os.Stderr, in) })
	}
	os.Exit(execute(args, os.Stdout, os.Stderr, nil))
}

// execute runs a command line and returns the exit code: 0 for success, 1 for a failure or a violated rule, 2 for a usage error.
func execute(args []string, out, errOut io.Writer, in emulation.Bubble) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commandline.Run(ctx, newRoot(in), args, out, errOut)
}

// newRoot returns the root command with all subcommands.
func newRoot(in emulation.Bubble) *cli.Command {
	return &cli.Command{
		Name: "dykering-lab", Usage: "Test laboratory of the broker and its control plane",
		Commands: []*cli.Command{
			newCheck(), newSim(), newReal(), newWhole(in), newExplore(in), newRun(in), newCompare(), newLoad(),
			newBench(), newDemo(), newBroker(), newReverseProxy(), newFleetView(), newCoreSearch(), newTrial(), newUpgrade(), newSystemDemo(), newRole(),
			newKnownRed(), newSoak(), newRequestSoak(), newConfigSoak(), newFlood(), newCoordination(),
		},
	}
}

func newCheck() *cli.Command {
	return &cli.Command{
		Name: "check", ArgsUsage: "FILE...", Usage: "Check scenarios",
		Action: commandline.Args(1, -1, func(_ context.Context, _ *cli.Command, args []string) error {
			var all []validation.Error
			for _, path := range args {
				_, wrong := scenario.Load(path)
				all = append(all, wrong...)
			}
			if err := validation.Join(all); err != nil {
				return commandline.Failure(err)
			}
			return nil
		}),
	}
}

// job is one run of a scenario with one policy and one seed.
type job struct {
	Policy string `json:"policy"`
	*model.Result
	Took time.Duration `json:"-"`
	err  error
}

func newSim() *cli.Command {
	var seed uint64
	var seeds, instances, servers int
	var policies []string
	var asJSON bool
	var scale float64
	c := &cli.Command{
		Name: "sim", ArgsUsage: "[FILE]", Usage: "Play a scenario in virtual time; without a file, the built-in one",
		Action: commandline.Args(0, 1, func(ctx context.Context, c *cli.Command, args []string) error {
			s, err := loadScenario(args)
			if err != nil {
				return err
			}
			for _, p := range policies {
				if sim.Policies[p] == nil {
					return fmt.Errorf("--policy %s: there is %s", p, strings.Join(slices.Sorted(maps.Keys(sim.Policies)), ", "))
				}
			}
			resize(s, instances, servers, scale)
			var jobs []*job
			for i := range max(seeds, 1) {
				for _, p := range policies {
					jobs = append(jobs, &job{Policy: p, Result: &model.Result{Seed: seed + uint64(i)}})
				}
			}
			began := time.Now()
			playAll(ctx, s, jobs)
			return report(c.Root().Writer, jobs, asJSON, time.Since(began))
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed", Destination: &seed},
		&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds", Destination: &seeds},
		&cli.StringSliceFlag{Name: "policy", Value: []string{"dykering"}, Usage: "the policy; repeat the flag to compare several", Destination: &policies},
		&cli.IntFlag{Name: "instances", Usage: "number of instances (default: that of the scenario)", Destination: &instances},
		&cli.IntFlag{Name: "servers", Usage: "number of servers (default: that of the scenario)", Destination: &servers},
		&cli.FloatFlag{Name: "scale", Value: 1, Usage: "factor for the scenario's rate and quotas", Destination: &scale},
		&cli.BoolFlag{Name: "json", Usage: "one line of JSON for each run", Destination: &asJSON},
	}
	return c
}

// resize changes the size of a scenario. A count of 0 keeps the scenario's own count.
func resize(s *scenario.Scenario, instances, servers int, scale float64) {
	if instances > 0 {
		s.Broker.Instances = instances
	}
	if servers > 0 {
		s.Servers.Count = servers
	}
	s.Callers.Rate.From *= scale
	s.Callers.Rate.To *= scale
	for i := range s.Teams {
		s.Teams[i].Quota *= scale
	}
}

// playAll plays jobs, one per core at a time. The result of a job does not depend on concurrent jobs.
func playAll(ctx context.Context, s *scenario.Scenario, jobs []*job) {
	next := make(chan *job)
	var all sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(jobs)) {
		all.Go(func() {
			for j := range next {
				began := time.Now()
				if r, err := sim.Run(ctx, s, j.Seed, sim.Policies[j.Policy]); err != nil {
					j.err = err
				} else {
					j.Result = r
				}
				j.Took = time.Since(began)
			}
		})
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	all.Wait()
}

// report prints the results of jobs. It returns an error if the broker violated a rule.
func report(out io.Writer, jobs []*job, asJSON bool, took time.Duration) error {
	broken := 0
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if !asJSON {
		fmt.Fprintln(t, "policy\tseed\tasked\tservice\tworst s\tback s\tp50 ms\tp99 ms\tattempts\trefused\tfailed\tbroken\t")
	}
	asked := 0
	for _, j := range jobs {
		if j.err != nil {
			return commandline.Failure(j.err)
		}
		asked += j.Offered
		if j.Policy == "dykering" {
			for _, n := range j.ViolationCounts {
				broken += n
			}
		}
		if asJSON {
			line, err := json.Marshal(j)
			if err != nil {
				return commandline.Failure(err)
			}
			fmt.Fprintf(out, "%s\n", line)
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.2f\t%.0f\t%.0f\t%.0f\t%.2f\t%d\t%d\t%v\t\n", j.Policy, j.Seed, j.Offered, j.Service,
			j.WorstSecond, j.RecoverySeconds, 1000*j.P50, 1000*j.P99, float64(j.Attempts)/float64(max(j.Offered, 1)), j.Refused, j.Failed, j.ViolationCounts)
	}
	t.Flush()
	if !asJSON {
		fmt.Fprintf(out, "%d requests in %.1f s: %.0f a second\n", asked, took.Seconds(), float64(asked)/took.Seconds())
	}
	if broken > 0 {
		return commandline.Failure(fmt.Errorf("%d rule violations; --json prints their histories", broken))
	}
	return nil
}
