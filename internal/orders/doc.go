// Package orders is the state machine of the orders that the holder of the placement lease sends to endpoints. An endpoint
// gets one order at a time, and the next one only after the previous one has ended.
//
// # Contract
//
// A Machine does no I/O, reads no clock and starts no goroutine. Its inputs are orders to start (Begin), answers of endpoints
// (ReportReceived, OrderAnswered), the passing of time (Advance) and a new lease (Reset). Begin, ReportReceived,
// OrderAnswered and Advance return an Output with the calls to make, the publications to the proxies and the refusals to log.
// Times are durations since a start that the caller chooses. The caller calls Advance at NextDue at the latest. A Machine is
// not safe for concurrent use.
//
// # States of an order
//
//	state         waits for                                            next states
//	publishing    the proxies to receive the publication of an unload  preparing
//	preparing     a recent report of the endpoint                      posting, awaitingIdle
//	posting       the answer to the order                              executing, uncertain, retrying, awaitingIdle, done
//	retrying      the end of another order at the endpoint             posting, awaitingIdle
//	executing     its expected end, then a report unless it is short   done
//	uncertain     a report that shows whether it was accepted          executing, done
//	inherited     a report on an order of the previous lease holder    done
//	awaitingIdle  a report of an idle endpoint                         done
//
// Done is not a value of phase: the order is removed, and its endpoint may get the next one. An order that was not executed
// is dropped when it enters awaitingIdle.
//
// # Invariants
//
//   - An endpoint has at most one order, and at most one call in flight.
//   - An order is posted only while the process holds the lease, and only under the fencing token that it was planned under.
//   - An order with an unknown outcome ends when the endpoint reports to be idle, or when its session ends. It never ends
//     by a timeout.
//   - Each load of weights is in the ledger at the time at which it is posted.
//   - An answer to any call of an order but its last one is ignored.
package orders
