// Package sim is the engine that runs a scenario in virtual time. Each instance has a policy, by default the
// broker's decision module (package decision). The engine contains no network code: requests, attempts and
// replies are actions of an event queue. Fleet-wide budgets and replicated state use the program's own
// packages (fleet/budget, fleet/replica); the engine transports their messages.
//
// Command lines and experiments select it by the name "sim". A run uses one goroutine. Two runs of the same
// scenario and seed have identical results, to the byte.
package sim
