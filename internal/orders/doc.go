// Package orders is the state machine of the orders that the lease holder of the placement sends to endpoints: one at a time
// for each endpoint, from the plan to its proven end.
//
// # Contract
//
// A Machine does no input or output, reads no clock and starts no goroutine. Its inputs are orders to start (Begin), answers
// of endpoints (ReportReceived, OrderAnswered), the passing of time (Advance) and a new lease (Reset); each returns an Output
// with the calls to make, what to publish to the proxies and what to log. Times are durations since a start that the caller
// chooses. The caller calls Advance at NextDue at the latest. A Machine is not safe for concurrent use.
//
// # States of an order
//
//	state       waits for                    next states
//	publishing  proxies to learn of it       preparing
//	preparing   a fresh enough report        posting, settling
//	posting     the answer to the order      executing, uncertain, retrying, settling, done
//	retrying    the order before it to end   posting, settling
//	executing   its expected end             done, settling
//	uncertain   a report                     executing, done, settling
//	adopted     a report                     done, settling; an order of the previous lease holder
//	settling    a report of an idle endpoint none: the endpoint may get another order
//
// Done is no state: the order is removed, and its endpoint may get the next one.
//
// # Invariants
//
//   - An endpoint has at most one order, and at most one call in flight.
//   - No order is posted without the lease, nor with the fencing token of another lease than it was planned under.
//   - An order whose outcome is not known ends by the report of an idle endpoint, or with the endpoint's session, and never
//     because of the time that has passed.
//   - Each load of weights that is posted is in the ledger at the time of its post.
//   - An answer to a call that was not the last one of its order changes nothing.
package orders
