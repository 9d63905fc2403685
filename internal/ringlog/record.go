package ringlog

import (
	"encoding/binary"
	"hash/crc32"
	"io"
)

// Each copy of a record begins with a magic number, which states how the record is stored. The magic numbers share their first
// three bytes.
const (
	// magicSingle ("drl1") begins a record with a single copy, written by an earlier version of this program.
	magicSingle uint32 = 0x6472_6c31 + iota
	// magicDouble ("drl2") begins a record with two copies.
	magicDouble
	// magicFirst ("drl3") begins a record with two copies that is the first one of its file.
	magicFirst
)

// Offsets of the fields of a header, in bytes.
const (
	magicOffset    = 0
	lengthOffset   = 4
	seqOffset      = 8
	syncedOffset   = 16
	checksumOffset = 24
	headerSize     = 28
)

const copiesPerRecord = 2

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of a copy. The header is passed without its checksum field.
func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, checksumTable), checksumTable, payload)
}

// RecordSize returns the number of bytes that both copies of a record with the given payload take in a file.
func RecordSize(payload []byte) int64 { return copiesPerRecord * copySize(payload) }

// copySize returns the number of bytes that one copy of a record with the given payload takes in a file.
func copySize(payload []byte) int64 { return headerSize + int64(len(payload)) }

// storedRecord is a record that was read from a file.
type storedRecord struct {
	magic uint32
	seq   uint64
	// synced is the sequence number up to which all records had been synced when this one was written.
	synced  uint64
	payload []byte
}

// appendRecord appends both copies of a record to a buffer.
func appendRecord(buffer []byte, seq, synced uint64, record Record) []byte {
	magic := magicDouble
	if record.Rotate {
		magic = magicFirst
	}
	start := len(buffer)
	buffer = binary.BigEndian.AppendUint32(buffer, magic)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(record.Payload)))
	buffer = binary.BigEndian.AppendUint64(buffer, seq)
	buffer = binary.BigEndian.AppendUint64(buffer, synced)
	buffer = binary.BigEndian.AppendUint32(buffer, checksum(buffer[start:], record.Payload))
	buffer = append(buffer, record.Payload...)
	return append(buffer, buffer[start:]...)
}

// readCopy reads the copy of a record that begins at an offset. It returns false if there is no copy or its checksum is wrong.
// The limit is the size of the file.
func readCopy(file io.ReaderAt, offset, limit int64) (storedRecord, bool) {
	var header [headerSize]byte
	if _, err := file.ReadAt(header[:], offset); err != nil {
		return storedRecord{}, false
	}
	magic := binary.BigEndian.Uint32(header[magicOffset:])
	length := int64(binary.BigEndian.Uint32(header[lengthOffset:]))
	if magic < magicSingle || magic > magicFirst || offset+headerSize+length > limit {
		return storedRecord{}, false
	}
	payload := make([]byte, length)
	if _, err := file.ReadAt(payload, offset+headerSize); err != nil {
		return storedRecord{}, false
	}
	if binary.BigEndian.Uint32(header[checksumOffset:]) != checksum(header[:checksumOffset], payload) {
		return storedRecord{}, false
	}
	record := storedRecord{
		magic:   magic,
		seq:     binary.BigEndian.Uint64(header[seqOffset:]),
		synced:  binary.BigEndian.Uint64(header[syncedOffset:]),
		payload: payload,
	}
	return record, true
}

// endOfFirstCopy returns the offset of the end of a record whose first copy begins at the given offset.
func (s storedRecord) endOfFirstCopy(offset int64) int64 {
	if s.magic == magicSingle {
		return offset + copySize(s.payload)
	}
	return offset + RecordSize(s.payload)
}

// endOfLastCopy returns the offset of the end of a record whose last copy begins at the given offset.
func (s storedRecord) endOfLastCopy(offset int64) int64 { return offset + copySize(s.payload) }
