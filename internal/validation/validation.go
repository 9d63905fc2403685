// Package validation defines the error for one invalid value of a file or of the environment. It has the position of the
// value, its key, and a description of the problem and of valid values. Readers of files collect the errors of a whole file,
// so that one run reports them all. No value of a file with errors is used.
package validation

import (
	"errors"
	"strconv"
)

// Error describes one invalid value.
type Error struct {
	File string // empty for the environment
	Line int    // counted from 1; 0 if the error belongs to no line
	Key  string // with the names of its tables, such as log.level; empty if the error belongs to no key
	Text string // the problem, and what a valid value is
}

// Error returns file, line, key and text in one line.
func (e Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where += ":" + strconv.Itoa(e.Line)
	}
	text := e.Text
	if e.Key != "" {
		text = e.Key + ": " + text
	}
	if where != "" {
		text = where + ": " + text
	}
	return text
}

// Join combines errors into one error with one line for each. It returns nil for an empty list.
func Join(all []Error) error {
	var errs []error
	for _, err := range all {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
