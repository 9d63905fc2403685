// Package coordinationload load-tests the coordination service of real control processes on loopback. It measures the latency of
// calls.
//
// In a closed loop, each caller sends one operation after another. In an open loop, operations are due at a fixed rate, regardless of
// the progress of earlier ones. Latency counts from the time at which an operation was due, so that an operation that is sent late
// because the service is slow counts with its full delay (no coordinated omission).
//
// The report also contains the lower bound that the disk sets for a write: the time of a sync of a small record, multiplied by the
// number of chain members that sync a write one after another.
package coordinationload
