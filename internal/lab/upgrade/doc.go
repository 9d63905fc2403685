// Package upgrade plays a rolling upgrade between two programs on loopback, and back: three control processes and two proxies are
// replaced one after another, under changes of the configuration, requests, orders to endpoints and drains, while a control
// process is killed in between. What is stored by one program is read by the other, and both talk to each other.
//
// Package localsystem has the processes and the load. Scenario.Run returns a Report; it is an error if a promise was broken.
package upgrade
