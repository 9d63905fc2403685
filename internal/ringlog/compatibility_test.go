package ringlog

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// The files of the fixture are those that the build of commit bfb03d8 has written for writtenRecords, without the zeros
// at their ends. They are never written anew.
const (
	fixtureDirectory = "testdata/ring"
	fixtureFiles     = 3
	fixtureFileSize  = 4096
)

// writtenRecords are appended with one call for each list.
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

// readableRecords are the payloads from the newest snapshot on.
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

// A ring that an earlier build has written is read.
func TestRingOfEarlierBuildIsRead(t *testing.T) {
	directory := t.TempDir()
	if err := os.CopyFS(directory, os.DirFS(fixtureDirectory)); err != nil {
		t.Fatal(err)
	}
	_, payloads := openFixture(t, directory)
	if !slices.EqualFunc(payloads, readableRecords(), bytes.Equal) {
		t.Errorf("read %q", payloads)
	}
}

// The present code writes the same bytes as an earlier build.
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
			t.Errorf("%s differs from that of the earlier build", name)
		}
	}
}
