// Package rules checks the actions of brokers against the platform's rules. It is written from the rules, not from the
// broker's code, and knows nothing of how decisions are made:
//
//   - answer: every accepted request gets exactly one final answer;
//   - time: the answer comes in time;
//   - effect: what must not run twice does not, and what carries a key does not outside of the key's scope and window;
//   - single: one attempt of a request is in flight at a time, and none after the answer;
//   - drain: a draining server gets no new attempt once the grace after the announcement is over;
//   - cold: a server that is warming up is not overloaded until it crashes;
//   - unknown: attempts go only to servers that discovery has announced to the instance;
//   - held: a request that is given up is answered at once, not held until its deadline;
//   - bound: no request has more attempts than the platform allows;
//   - gone: no attempt begins for a client that has departed.
//
// A stalled process is excused for the time it was stalled and no more; a killed process owes nothing. The engines
// (packages sim, real, emulation) report events to a Checker in the order of their times; package model reports those
// of servers and discovery. Memory is bounded by the requests that are open.
package rules
