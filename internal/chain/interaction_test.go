package chain

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var rewrite = flag.Bool("rewrite", false, "overwrite the expected traces in testdata with the actual ones")

// TestInteractions runs the transcripts testdata/*.txt. A transcript is a sequence of commands. Each command is followed by a
// line of dashes, the expected trace and an empty line. Lines that begin with # are comments. The commands are
//
//	start NAME...         start the members of the first view, head first
//	join NAME ADDRESS     start a member with an empty disk at an address
//	write NAME OPERATION  write at a member
//	read NAME             read at a member
//	persist NAME          sync a member's records to its disk, and then send its messages
//	deliver [FROM [TO]]   deliver the messages in flight between two members, or all messages
//	drop [FROM [TO]]      drop the messages in flight between two members, or all messages
//	crash NAME            end a process; its unpersisted records are lost
//	restart NAME          start a crashed process again from its disk
//	leave NAME            ask a member to leave
//	tick DURATION         advance the time and tick each running member once
//	stabilize             persist records and deliver messages until there are none left
//	run DURATION          repeat "tick 100ms" and "stabilize"
//	status                show the state of each member
//
// The traces omit pings and pongs.
func TestInteractions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no transcripts in testdata (error: %v)", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { runTranscript(t, file) })
	}
}

const traceSeparator = "----"

// runTranscript runs the commands of a transcript and compares the actual traces with the expected ones.
func runTranscript(t *testing.T, file string) {
	t.Helper()
	expected, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var actual strings.Builder
	network := &testNetwork{}
	inTrace := false
	for _, line := range strings.Split(strings.TrimRight(string(expected), "\n"), "\n") {
		switch {
		case inTrace && line != "":
			continue // the command has already written its actual trace
		case line == "" || strings.HasPrefix(line, "#"):
			inTrace = false
			actual.WriteString(line + "\n")
		case line == traceSeparator:
			inTrace = true
		default:
			trace, err := network.execute(line)
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			actual.WriteString(line + "\n" + traceSeparator + "\n" + trace)
		}
	}
	if *rewrite {
		if err := os.WriteFile(file, []byte(actual.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if actual.String() != string(expected) {
		t.Errorf("%s: the traces differ; actual transcript:\n%s", file, actual.String())
	}
}
