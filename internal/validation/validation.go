// Package validation has the error that names what is wrong with one value of a file or of the environment: where it
// stands, which key it is, and what would be right. Readers of files collect all such errors of a file, so that one run
// names them all; nothing of a file with errors is used.
package validation

import (
	"errors"
	"strconv"
)

// Error is one thing that is wrong.
type Error struct {
	File string // empty for the environment
	Line int    // counted from 1; 0 where the error belongs to no line
	Key  string // with the names of its tables, as log.level; empty where no key can be named
	Text string // what is wrong and what would be right
}

// Error gives it in one line: file, line, key, text.
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

// Join makes one error of several, each on a line of its own; nil of none.
func Join(all []Error) error {
	var errs []error
	for _, err := range all {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
