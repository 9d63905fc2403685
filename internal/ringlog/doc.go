// Package ringlog implements a durable log of records in a ring of preallocated files. The log survives a power loss at any
// moment and the loss of one of the two copies of any record. It detects other damage to synced records, except for damage to
// both copies of the last synced record, which looks like a torn write.
//
// Each file begins with a snapshot, which is a record that replaces all records before it (Record.Rotate). Opening the log
// returns the newest snapshot and the records after it, so older files may be overwritten. Payloads are opaque.
//
// # Format on disk
//
// The directory has the files ring-0, ring-1 and so on. After the last file, the first one is used again. Numbers are
// big-endian:
//
//	file    record | record | ... | remains of earlier use, or zeros
//	record  copy | an identical copy
//	copy    header | payload
//
//	header  offset  size
//	             0     4  magic number: "drl1", "drl2" or "drl3"
//	             4     4  length of the payload in bytes
//	             8     8  sequence number; it increases by one with each record, across files
//	            16     8  sequence number up to which all records had been synced when this one was written
//	            24     4  CRC-32C of bytes 0 to 23 and the payload
//
// The magic number is "drl3" in the first record of a file and "drl2" in the other records. A record of an earlier version of
// this program has "drl1" and a single copy. A record that is larger than Options.FileSize extends its file.
//
// # Recovery
//
// A record counts as lost if neither of its copies can be read. Recovery starts with the file whose first record has the
// highest sequence number, and stops at the first lost record. The second sequence number in the headers of later records
// tells whether the lost record is the end of the log or damage:
//
//   - A record that was torn by a power loss was never synced, so no later record can state that it was. The log ends there.
//   - If a later record states that the lost record had been synced, synced data is damaged. Open returns ErrDamaged. The
//     caller must not use the readable records: a member that has forgotten a promise or an entry could break the agreement
//     of the other members.
//
// Damage to both copies of the last synced record cannot be distinguished from a torn write.
//
// # Invariants
//
//   - Each file begins with a snapshot, which is written after the records of the previous file.
//   - After Append returns nil, the records survive a power loss.
//   - Records are returned in the order in which they were appended, without gaps.
//
// A Ring must be used by one goroutine at a time. internal/controlplane stores the records of the chain in one ring and the
// sessions in another.
//
// Syncing records before they take effect is write-ahead logging; see C. Mohan et al., "ARIES" (ACM TODS 1992). On why a
// replicated system must distinguish damage from a crash, see R. Alagappan et al., "Protocol-Aware Recovery for
// Consensus-Based Storage" (FAST 2018).
package ringlog
