// Package coresim searches the core's replication for violated guarantees by deterministic simulation. It runs the state
// machine of internal/chain, which is the program's own code, in virtual time, with simulated networks, disks, processes
// and clients. It injects faults and checks what the clients observed. Two runs with the same seed are identical.
//
// A Schedule is a list of faults and the seed of all other random choices. Generate draws a schedule, Run runs one, Search
// runs many in parallel, and Shrink removes the faults that a failure does not need. By default the number of concurrent
// faults stays within Options.MostFailures, so the core must remain available. With Schedule.Overlap more members may fail
// at once, but at most MostFailures disks are lost; the core must then remain consistent but need not be available.
//
// The replicated value is the list of all operations. A linearizability check normally searches for an order of the calls
// (Herlihy and Wing, "Linearizability", 1990). Here the list is that order, and the checker only compares the interval of
// each call with it.
//
// A Flaw is a bug that is planted in the simulated process, never in the program, to show that the search finds it.
//
// The method follows FoundationDB (Zhou et al., SIGMOD 2021). The faults are those of Jepsen's nemeses, plus disk faults.
// The simulation does not cover update streams, quotas, corrupted disks and clock steps.
// docs/SYSTEM-SEARCH.md lists the guarantees, the planted flaws and the bugs that were found.
//
// With Options.Coordination the value also contains the state of the coordination service (internal/coordination), and
// emulated applications use locks, numbers, cells and watches. Their checkers use only what the applications observe.
// Options.Sessions and Options.Placement add emulated endpoints that keep sessions and receive orders.
//
// Files:
//
//   - simulation.go and eventqueue.go: virtual time;
//   - network.go, machine.go and disk.go: the simulated hardware and processes;
//   - clients.go and value.go: the clients and the replicated value;
//   - schedule.go, faults.go and faultbudget.go: faults;
//   - checker.go, progress.go and endchecks.go: guarantees;
//   - search.go and coverage.go: the search;
//   - flaws.go and coordination_flaws.go: planted flaws;
//   - coordination.go, coordination_process.go and coordination_calls.go: the coordination service and the calls to it;
//   - lock_callers.go and cell_callers.go: the clients of the coordination service;
//   - lock_checker.go, cell_checker.go and coordination_end.go: the guarantees of the coordination service;
//   - sessions.go, session_client.go and departure_checker.go: the sessions of endpoints;
//   - placement.go, endpoint.go and orders_checker.go: the placement of models and its orders;
//   - recovery.go: measurement of recovery times.
//
// The subcommands explore, replay, flaws and recovery of "dykering-lab control" use the package.
package coresim
