// Package explore searches for violations of the rules. It draws schedules of faults, plays each with the
// whole program in virtual time (package emulation), prefers schedules that reach new pairs of a fault and
// a phase of a request, and shrinks a schedule that breaks a rule to a small one that still does, written
// as a scenario file that replays it.
//
// Invariants: a search draws the same schedules for the same seed and can be resumed from its records,
// whose JSON keys stay; a kept search of an earlier build is read as well. The command "explore" of
// dykering-lab calls it.
package explore
