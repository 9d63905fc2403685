// Package nodefile reads the settings file of a process of the system (dykering control and dykering proxy): its identity,
// its addresses, the resources that it may use, and the bounds of the rules that its time-outs derive from.
//
// The platform writes the file in TOML, one for each process, and names its path in the environment variable
// DYKERING_NODE_FILE. The file may change while the process runs; a process that finds none of the control processes it
// knows reads the seeds again.
//
// The package owns the form of the file, its defaults and its validation. It is not for the configuration of routes and
// services, which operators change at run time (package fleetconfig), nor for the operator's file of the sidecar (package
// operator). How time-outs derive from the bounds is decided where they are used, for example in timing.go of package
// controlplane.
//
// Invariants: settings that Load or Parse have returned without an error have a valid address, a range of ports, at least
// one seed, and positive values where a time-out is a fraction of the value. Keys that are not known are ignored, since the
// platform may add some.
package nodefile
