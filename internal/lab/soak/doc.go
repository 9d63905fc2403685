// Package soak runs real control processes on loopback and injects faults: signals, restarts, lost disks and concurrent
// configuration changes. Clients of the coordination service and two operators record every call and its answer. Package history
// checks the recorded history against the platform's consistency rules.
//
// The seed determines the faults, their targets and durations, and the requests of the clients. The outcome also depends on the
// timing of the machine, so a run with the same seed may differ. At most machine_failures processes are down at once. A restarted
// process counts as down for another catch_up_s seconds.
package soak
