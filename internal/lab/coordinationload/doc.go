// Package coordinationload loads the coordination service of real control processes on loopback, and measures how long calls take.
//
// In a closed loop a number of callers send one operation after another. In an open loop operations are due at a fixed rate,
// whatever becomes of earlier ones, and times count from when an operation was due: one that is sent late because the service is
// slow is as late as its caller would find it (coordinated omission).
//
// Beside the figures of calls the report has the bound that the disk sets: the time of a sync of a small record, and the number
// of members that sync a write one after another.
package coordinationload
