package ringlog

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// The build of commit bfb03d8 has written the files of the fixture for writtenRecords. The zeros at the ends of the files were
// removed. The files must not be regenerated.
const (
	fixtureDirectory = "testdata/ring"
	fixtureFiles     = 3
	fixtureFileSize  = 4096
)

// writtenRecords returns the records of the fixture. Each list is appended with one call.
func writtenRecords() [][]Record {
	return [][]Record{
		{{Payload: []byte("snapshot 1"), Rotate: true}},
		{{Payload: []byte("a")}, {Payload: []byte("b")}},
		{{Payload: []byte("snapshot 2"), Rotate: true}, {Payload: []byte("c")}},
		{{Payload: []byte("d")}, {Payload: []byte("snapshot 3"), Rotate: true}},
		{{Payload: []byte{}}, {Payload: bytes.Repeat([]byte{0, 1, 0xff}, 100)}},
		{{Payload: []byte("e")}},
	}
}

// readableRecords returns the payloads of the newest snapshot and of the records after it.
func readableRecords() [][]byte {
	return [][]byte{[]byte("snapshot 3"), {}, bytes.Repeat([]byte{0, 1, 0xff}, 100), []byte("e")}
}

func openFixture(t *testing.T, directory string) (*Ring, [][]byte) {
	t.Helper()
	ring, payloads, err := Open(Options{Directory: directory, Files: fixtureFiles, FileSize: fixtureFileSize})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ring.Close)
	return ring, payloads
}

// The current code reads a ring that an earlier build has written.
func TestRingOfEarlierBuildIsRead(t *testing.T) {
	directory := t.TempDir()
	if err := os.CopyFS(directory, os.DirFS(fixtureDirectory)); err != nil {
		t.Fatal(err)
	}
	_, payloads := openFixture(t, directory)
	if !slices.EqualFunc(payloads, readableRecords(), bytes.Equal) {
		t.Errorf("read payloads %q, want %q", payloads, readableRecords())
	}
}

// The current code writes the same bytes as an earlier build.
func TestRingIsWrittenAsByEarlierBuild(t *testing.T) {
	directory := t.TempDir()
	ring, _ := openFixture(t, directory)
	for _, records := range writtenRecords() {
		if err := ring.Append(records); err != nil {
			t.Fatal(err)
		}
	}
	for i := range fixtureFiles {
		name := fmt.Sprintf("ring-%d", i)
		expected, err := os.ReadFile(filepath.Join(fixtureDirectory, name))
		if err != nil {
			t.Fatal(err)
		}
		written, err := os.ReadFile(filepath.Join(directory, name))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(bytes.TrimRight(written, "\x00"), expected) {
			t.Errorf("%s differs from the file that the earlier build has written", name)
		}
	}
}
