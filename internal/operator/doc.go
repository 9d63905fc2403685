// Package operator reads the operator's settings file. The file is TOML; each of its tables is a section, which the package
// that uses it registers. Package tomlconfig decodes the file. Package operator combines the sections into one file, writes the
// example with all defaults (deploy/dykering.toml), and compares two versions of a file for the log line of a reload.
//
// Invariants: a file with an error is not used at all, and all its errors are reported; sections are in alphabetical order,
// so that the example and the list of values are the same in each build; secrets are masked in values and changes.
//
// Packages call Register from their init functions; the program and its command line call the other functions. The registry
// does not change after the init functions, so all functions except Register are safe for concurrent use.
package operator
