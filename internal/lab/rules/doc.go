// Package rules checks the actions of brokers against the platform's rules. It depends on the rules alone, not on the
// broker's code. The rules are:
//
//   - answer: every accepted request gets exactly one final answer;
//   - time: the answer arrives before the deadline;
//   - effect: an unsafe request does not run twice, and a keyed request runs again only within the scope and window of
//     its key, where servers drop it as a duplicate;
//   - single: at most one attempt of a request is in flight at a time, and none begins after the answer;
//   - drain: a draining server receives no new attempt after the grace time that follows the announcement;
//   - cold: a server that is warming up is not overloaded until it crashes;
//   - unknown: attempts go only to servers that discovery has announced to the instance;
//   - held: an instance that abandons a request answers it immediately, not just before the deadline;
//   - bound: no request has more attempts than the platform allows;
//   - gone: no attempt begins for a client that has departed.
//
// Answers and drains may be late by the time for which the process was stalled, but not by more. After a kill no answer
// is required. The engines (packages sim, real, emulation) report events to a Checker in the order of their times, and
// package model reports those of servers and discovery. The memory that a Checker needs is proportional to the number of
// open requests.
package rules
