// Package coresim searches the core's replication for violated guarantees by deterministic simulation: it runs the state
// machine of internal/chain (the code that ships) in virtual time, with simulated networks, disks, processes and clients,
// injects faults, and checks what the clients observed. The same seed gives the same run.
//
// A Schedule is a list of faults and the seed of all other random choices. Generate draws one, Run runs it, Search runs many
// in parallel, Shrink removes the faults that a failure does not need. Faults stay within what Options.MostFailures
// tolerates, so that the core must remain available, or (Schedule.Overlap) exceed it without losing more disks, so that it
// must remain consistent.
//
// The replicated value is the list of all operations. Linearizability then needs no search for an order, as in Herlihy and
// Wing, "Linearizability" (1990): the list is the order, and the checker compares each call's interval with it.
//
// A Flaw is a bug that is planted in the simulated process, never in the program, to show that the search finds it.
//
// The method is that of FoundationDB (Zhou et al., SIGMOD 2021); the faults are those of Jepsen's nemeses, with disks in
// addition. docs/SYSTEM-SEARCH.md has the guarantees, the planted flaws and what was found. It does not cover the sessions,
// the update streams, quotas, orders, corrupted disks and clock steps.
//
// With Options.Coordination the value also has the state of the coordination service, whose decisions are those of
// internal/coordination, and emulated applications call for locks, numbers, cells and watches. The checkers look at what the
// applications see alone.
//
// Files: simulation.go and eventqueue.go (virtual time), network.go, machine.go and disk.go (what is simulated), clients.go
// and value.go (the load), schedule.go, faults.go and faultbudget.go (faults), checker.go and progress.go (guarantees),
// search.go and coverage.go (the search), flaws.go (planted flaws), coordination.go, coordination_process.go and
// coordination_calls.go (the coordination service and the calls to it), lock_callers.go and cell_callers.go (its load),
// lock_checker.go, cell_checker.go and coordination_end.go (its guarantees), recovery.go (measurement of recovery times).
//
// The commands dykering-lab control explore, replay, flaws and recovery call it.
package coresim
