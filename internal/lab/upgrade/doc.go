// Package upgrade plays a rolling upgrade between two programs on loopback, and back: three control processes and two proxies are
// replaced one after another, under changes of the configuration, requests, orders to endpoints and drains, while a control
// process is killed in between. What is stored by one program is read by the other, and both talk to each other.
//
// The endpoints, the operator and the clients run in this process; the programs are started as the platform does, with a settings
// file each. Scenario.Run returns a Report; it is an error if a promise was broken.
package upgrade
