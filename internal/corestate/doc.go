// Package corestate defines the value that the control plane replicates with chain replication. It consists of the operator's
// configuration (internal/fleetconfig) and the state of the coordination service (internal/coordination), which share one log.
//
// Until the first write to the coordination service, the value is a *fleetconfig.State alone. Builds without the service store
// and send this form, so they remain compatible with a system that does not use the service. The first operation on the service
// turns the value into a *State. The functions of this package accept both forms.
//
// A value is immutable. Package controlplane uses this package. State is encoded with encoding/gob, so the names of its fields
// must not change.
package corestate
