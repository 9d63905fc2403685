// Package systemdemo shows the whole system at work on loopback, as lines of text: requests are served, a model is loaded where it is
// asked for, and a lock, a number and a watch keep their promises while the head of the chain is killed.
//
// The system is that of package localsystem. Locks, numbers, keys and watches are called through the interface Coordinator, which
// HTTPCoordinator implements; control processes that do not serve them answer 404, and the demo says so. Demo.Run returns an error
// if a promise was broken or a step was not done in time.
package systemdemo
