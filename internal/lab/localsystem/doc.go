// Package localsystem runs a whole system on loopback: three control processes and two proxies, started as the platform does with
// a settings file each, stand-ins for endpoints, an operator that changes the configuration, and clients.
//
// The endpoints, the operator and the clients run in this process; they note what breaks a promise, which System.Violations returns.
// System.Close ends all processes by their ids; it is called in all cases. Packages upgrade and systemdemo play scenarios on it.
package localsystem
