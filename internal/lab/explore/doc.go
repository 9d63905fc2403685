// Package explore searches for violations of the checker's rules by random faults. It draws schedules of
// faults, plays each with the complete program in virtual time (package emulation), and mutates schedules
// that reached a new pair of a fault and a phase of a request. It shrinks a schedule that violates a rule to
// a smaller one that still does, and writes that as a scenario file that replays the violation.
//
// Invariants: a search with one worker draws the same schedules for the same seed. It can be resumed from
// its records, also from those of an earlier build, so the JSON keys of Record cannot change. The command
// "explore" of dykering-lab uses the package.
package explore
