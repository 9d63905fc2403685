// Package commandline runs the command lines of the project's programs with urfave/cli. It defines the exit codes, prints
// errors, and checks the number of arguments. It has no commands; the programs in cmd build their command trees and pass
// them to Run.
//
// Invariant: an error that a command marks with Failure ends the program with ExitFailure. Any other error ends it with
// ExitUsage and a reference to --help.
package commandline
