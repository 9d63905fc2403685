package chain

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var rewrite = flag.Bool("rewrite", false, "write the transcripts in testdata anew from what the commands give")

// TestInteractions runs the transcripts testdata/*.txt. A transcript is a sequence of commands, each followed by a line of
// dashes, its expected trace and an empty line; lines that begin with # are comments. The commands are
//
//	start NAME...         start the members of the first view, head first
//	join NAME ADDRESS     start a member with an empty disk at an address
//	write NAME OPERATION  write at a member
//	read NAME             read at a member
//	persist NAME          sync a member's records to its disk; this releases its messages
//	deliver [FROM [TO]]   deliver the messages in flight between two members, or all
//	drop [FROM [TO]]      lose them
//	crash NAME            end a process; what was not persisted is lost
//	restart NAME          start it again from its disk
//	leave NAME            ask a member to leave
//	tick DURATION         advance the time and tick each running member once
//	stabilize             persist and deliver until nothing is left to do
//	run DURATION          repeat tick 100ms and stabilize
//	status                show the members
//
// Pings and pongs are left out of the traces.
func TestInteractions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no transcripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { runTranscript(t, file) })
	}
}

const traceSeparator = "----"

// runTranscript runs the commands of a transcript and compares what they give with it.
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
			continue // written anew from the command
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
		t.Errorf("%s: the commands give\n%s", file, actual.String())
	}
}
