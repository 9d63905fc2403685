package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"dykering/internal/validation"
)

// keyPositions maps the keys of a JSON text to their lines, for error messages.
type keyPositions struct {
	text  []byte
	lines map[string]int // by full key, such as limits.cores; the first line is 1
}

// findKeys finds the line of each key of the top-level object and of the objects nested in it. It stops at the first syntax
// error. The objects in an array share the prefix of the array, so the lines of the last one remain.
func findKeys(text []byte) keyPositions {
	p := keyPositions{text: text, lines: map[string]int{}}
	p.findInValue(json.NewDecoder(bytes.NewReader(text)), "")
	return p
}

// findInValue reads a value and records its keys with a prefix. It returns false at a syntax error.
func (p keyPositions) findInValue(decoder *json.Decoder, prefix string) bool {
	token, err := decoder.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		return p.findInObject(decoder, prefix)
	case json.Delim('['):
		return p.findInArray(decoder, prefix)
	}
	return true
}

// findInObject reads the rest of an object after its opening brace.
func (p keyPositions) findInObject(decoder *json.Decoder, prefix string) bool {
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return false
		}
		name := prefix + fmt.Sprint(key)
		p.lines[name] = p.lineAt(decoder.InputOffset())
		if !p.findInValue(decoder, name+".") {
			return false
		}
	}
	_, err := decoder.Token() // the closing brace
	return err == nil
}

// findInArray reads the rest of an array after its opening bracket.
func (p keyPositions) findInArray(decoder *json.Decoder, prefix string) bool {
	for decoder.More() {
		if !p.findInValue(decoder, prefix) {
			return false
		}
	}
	_, err := decoder.Token() // the closing bracket
	return err == nil
}

// lineAt returns the line of a byte offset. The first line is 1.
func (p keyPositions) lineAt(offset int64) int {
	end := min(max(offset, 0), int64(len(p.text)))
	return 1 + bytes.Count(p.text[:end], []byte("\n"))
}

// locate adds the file, the line and, if known, the key to an error from decoding the text.
func (p keyPositions) locate(path string, err error) error {
	located := validation.Error{File: path, Text: err.Error()}
	if syntaxError := new(json.SyntaxError); errors.As(err, &syntaxError) {
		located.Line = p.lineAt(syntaxError.Offset)
	}
	if wrongType := new(json.UnmarshalTypeError); errors.As(err, &wrongType) {
		located.Line, located.Key = p.lineAt(wrongType.Offset), wrongType.Field
	}
	return located
}
