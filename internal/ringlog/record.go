package ringlog

import (
	"encoding/binary"
	"hash/crc32"
	"io"
)

// The first word of a record tells how it is stored.
const (
	magicSingle uint32 = 0x6472_6c31 + iota // once, by an earlier version of this program
	magicDouble                             // twice, one copy behind the other
	magicFirst                              // twice, and it begins a file
)

const (
	headerSize      = 4 + 4 + 8 + 8 + 4
	copiesPerRecord = 2
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// RecordSize is what a payload takes.
func RecordSize(payload []byte) int64 { return copiesPerRecord * copySize(payload) }

func copySize(payload []byte) int64 { return headerSize + int64(len(payload)) }

// stored is a record as it was read.
type storedRecord struct {
	magic       uint32
	seq, synced uint64
	payload     []byte
}

// appendRecord renders a record with all of its copies.
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
	sum := crc32.Update(crc32.Checksum(buffer[start:], checksumTable), checksumTable, record.Payload)
	buffer = binary.BigEndian.AppendUint32(buffer, sum)
	buffer = append(buffer, record.Payload...)
	return append(buffer, buffer[start:]...)
}

// readRecord reads one copy of a record at an offset; it is false where there is none that can be read.
func readCopy(file io.ReaderAt, offset, limit int64) (storedRecord, bool) {
	var header [headerSize]byte
	if _, err := file.ReadAt(header[:], offset); err != nil {
		return storedRecord{}, false
	}
	mark := binary.BigEndian.Uint32(header[:])
	length := int64(binary.BigEndian.Uint32(header[4:]))
	if mark < magicSingle || mark > magicFirst || offset+headerSize+length > limit {
		return storedRecord{}, false
	}
	payload := make([]byte, length)
	if _, err := file.ReadAt(payload, offset+headerSize); err != nil {
		return storedRecord{}, false
	}
	sum := crc32.Update(crc32.Checksum(header[:headerSize-4], checksumTable), checksumTable, payload)
	if binary.BigEndian.Uint32(header[headerSize-4:]) != sum {
		return storedRecord{}, false
	}
	return storedRecord{magic: mark, seq: binary.BigEndian.Uint64(header[8:]), synced: binary.BigEndian.Uint64(header[16:]), payload: payload}, true
}

// behind gives the place behind a record of which one copy was read at an offset and some more follow.
func (s storedRecord) end(offset int64, more int64) int64 {
	if s.magic == magicSingle {
		return offset + copySize(s.payload)
	}
	return offset + (1+more)*copySize(s.payload)
}
