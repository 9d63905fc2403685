// Command standins starts a small deployment on loopback with stand-ins for clients, endpoints and the operator, and plays one case
// of the review. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case on a system whose processes are not started. It returns the violations of the rule, or an error if the
// case could not run. The argument trouble is false for the same run without the disruption.
type scenario func(s *system, trouble bool) (violations []string, err error)

var scenarios = map[string]scenario{
	"early-answer":    earlyAnswer,
	"late-reader":     lateReader,
	"unframed-stream": unframedStream,
	"slow-watcher":    slowWatcher,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) == 3 && arguments[0] == "endpoint" {
		fmt.Fprintln(os.Stderr, serveStreams(arguments[1], arguments[2] == "true"))
		return exitNotRun
	}
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins SCENARIO FOLDER")
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record, err := newRecorder(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	s, err := newSystem(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.event("case", arguments[0], "trouble", fmt.Sprint(trouble))
	violations, err := scenarios[arguments[0]](s, trouble)
	switch {
	case err != nil:
		record.event("case", "not run", "error", err.Error())
		fmt.Println("not run:", err)
		return exitNotRun
	case len(violations) > 0:
		for _, violation := range violations {
			record.event("case", "broken", "what", violation)
			fmt.Println("broken:", violation)
		}
		return exitBroken
	}
	record.event("case", "held")
	fmt.Println("held")
	return exitHeld
}
