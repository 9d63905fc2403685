// Package ringlog is a durable log of records in a ring of preallocated files. It survives the loss of power at any moment
// and the loss of one of the two copies of any record, and detects all other damage to records that were synced.
//
// Each file begins with a snapshot, a record that stands for all records before it (Record.Rotate); opening the log returns
// the newest snapshot and the records after it. The files before it may therefore be overwritten. Payloads are opaque.
//
// # Format on disk
//
// The directory has the files ring-0, ring-1, ...; after the last one the first one is used again. Numbers are big-endian:
//
//	file    record | record | ... | remains of earlier use, or zeros
//	record  copy | the same copy again
//	copy    header | payload
//
//	header  offset  size
//	             0     4  magic number: "drl1", "drl2" or "drl3"
//	             4     4  length of the payload in bytes
//	             8     8  sequence number; it rises by one with each record, also from file to file
//	            16     8  sequence number up to which all records had been synced when this one was written
//	            24     4  CRC-32C of bytes 0 to 23 and the payload
//
// The magic number is "drl3" in the first record of a file and "drl2" in others. A record of an earlier version of this
// program has "drl1" and is written once. A record that is larger than Options.FileSize extends its file.
//
// # Recovery
//
// A record counts as lost if neither of its copies can be read. Recovery starts from the file whose first record has the
// highest sequence number, and ends at the first lost record. Whether that is the end of the log or damage follows from the
// header's second sequence number:
//
//   - A record that was torn by a loss of power was never synced. No record after it can state that it was: the log ends.
//   - If a later record states that the lost one had been synced, synced data is damaged. Open returns ErrDamaged, and the
//     caller must not use what it can still read: a member that has forgotten a promise or an entry could break the
//     agreement of the others.
//
// Damage to both copies of the last synced record cannot be told from a torn write.
//
// # Invariants
//
//   - A file is only begun with a snapshot, after the records of the file before it were written.
//   - After Append returns nil, the records survive a loss of power.
//   - Records are returned in the order in which they were appended, without gaps.
//
// A Ring is used by one goroutine. internal/controlplane stores the chain's records and the sessions in one ring each.
//
// Appending records and syncing them before they take effect is write-ahead logging; see C. Mohan et al., "ARIES" (ACM TODS
// 1992). On why a replicated system must tell damage from a crash, see R. Alagappan et al., "Protocol-Aware Recovery for
// Consensus-Based Storage" (FAST 2018).
package ringlog
