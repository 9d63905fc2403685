// Package commandline runs the command lines of the project's programs on urfave/cli: the exit codes, how errors are
// printed, and how many arguments a command takes. It has no commands of its own; the programs in cmd build the tree of
// theirs and pass it to Run.
//
// Invariant: an error that a command marks with Failure ends the program with ExitFailure, any other with ExitUsage and a
// hint at the help.
package commandline
