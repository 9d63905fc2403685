// Package upgrade plays a rolling upgrade between two programs on loopback, and the downgrade back. Three control processes and two
// proxies are replaced one after another under configuration changes, requests, orders to endpoints and drains, and a control process
// is killed in between. Each program must read the data that the other has stored, and both must work with each other.
//
// Package localsystem provides the processes and the load. Scenario.Run returns a Report, and an error if a guarantee was violated.
package upgrade
