// Command standins-2 plays the cases of the second review. Each case starts the project's own programs as separate
// processes on loopback addresses and the real clock, and plays the clients, the model endpoints and the operator itself.
//
// Usage: standins-2 CASE BINARY FOLDER. BINARY is the built dykering program. The case writes record.txt into FOLDER and
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it
// does the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns whether the rule was broken, or an error if it could not run.
var cases = map[string]func(*system) (broken bool, err error){
	"stale-order": staleOrder,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE BINARY FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play runs one case and returns its exit code. All processes that the case has started end before it returns.
func play(run func(*system) (bool, error), binary, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSystem(binary, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := run(s)
	s.stop()
	if err == nil {
		s.note("verdict", "broken=%t", broken)
	} else {
		s.note("verdict", "not run: %v", err)
	}
	if closeErr := record.Close(); closeErr != nil {
		err = errors.Join(err, closeErr)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
