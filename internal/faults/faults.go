// Package faults is how what is wrong with a file is told: where it stands, which key it is, and what would be right.
package faults

import (
	"errors"
	"strconv"
)

// Fault is one thing that is wrong.
type Fault struct {
	File string // empty for the environment
	Line int    // 0 where it is no line's
	Key  string
	Text string
}

// Error is the fault in one line.
func (f Fault) Error() string {
	where := f.File
	if f.Line > 0 {
		where += ":" + strconv.Itoa(f.Line)
	}
	text := f.Text
	if f.Key != "" {
		text = f.Key + ": " + text
	}
	if where != "" {
		text = where + ": " + text
	}
	return text
}

// Join makes one error of faults, each on a line of its own; nil of none.
func Join(all []Fault) error {
	var errs []error
	for _, f := range all {
		errs = append(errs, f)
	}
	return errors.Join(errs...)
}
