// Package operator reads the operator's settings file: TOML whose tables, the sections, are registered by the packages
// that use them. Package tomlconfig decodes it; this package puts the sections together to one file, writes the example
// with all defaults (deploy/dykering.toml), and compares two versions of a file for the log of a reload.
//
// Invariants: a file with an error is not used at all, and all its errors are reported; sections are in alphabetical order,
// so that the example and the list of values are the same in each build; secrets are masked in values and changes.
//
// Packages call Register from their init functions; the program and its command line call the rest. The registry does
// not change after the init functions, so that all functions but Register are safe for concurrent use.
package operator
