// Package localsystem runs a whole system on loopback: three control processes, two proxies, fake endpoints, an operator that changes
// the configuration, and clients. Each process is started with a settings file, as on the platform.
//
// The endpoints, the operator and the clients run in the calling process. They record each violated guarantee, and System.Violations
// returns the records. Callers must always call System.Close, which kills all processes. Packages upgrade and systemdemo play
// scenarios on the system.
package localsystem
