// Package sim is the engine that plays a scenario in virtual time with a policy in each instance, by
// default the broker's decision module (package decision). It contains no network code: requests, attempts
// and replies are actions of an event queue. Fleet-wide budgets and replicated state use the program's own
// packages (fleet/budget, fleet/replica); this package carries their messages.
//
// It is the engine "sim" of the command line and of experiments. One run uses one goroutine, and its result
// is the same to the byte for the same scenario and seed.
package sim
