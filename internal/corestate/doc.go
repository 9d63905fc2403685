// Package corestate is the value that the chain replicates: the operator's configuration (internal/fleetconfig) and the state of
// the coordination service (internal/coordination), in one log.
//
// While nothing was written to the coordination service, the value is a *fleetconfig.State alone: that is the stored and sent
// form of builds without the service, and a system that does not use it stores and sends what it always did. The first
// operation on the service makes a *State of it. Callers use the functions here, which take either.
//
// A value is immutable. internal/controlplane is the caller; the names of the fields of State are fixed by gob.
package corestate
