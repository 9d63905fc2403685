// Package nodefile reads the settings file of a process (dykering control or dykering proxy). The file has the identity of
// the process, its addresses, its resource limits, and the bounds from which its time-outs derive.
//
// The platform writes the file in TOML, one for each process, and sets the environment variable DYKERING_NODE_FILE to its
// path. The file may change while the process runs: a process that can reach none of its known control processes reads the
// seeds again.
//
// The package owns the format of the file, its defaults and its validation. The configuration of routes and services, which
// operators change at run time, belongs to package fleetconfig; the operator's file of the sidecar belongs to package
// operator. The packages that use the bounds derive the time-outs, for example timing.go of package controlplane.
//
// Invariants: settings that Load or Parse return without an error have a valid IP address, a range of ports, at least one
// seed, and positive values for all bounds from which time-outs or windows derive. Unknown keys are ignored, since the
// platform may add keys.
package nodefile
