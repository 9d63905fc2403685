package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"dykering/internal/validation"
)

// keyPositions has the lines of the keys of a JSON text.
type keyPositions struct {
	text  []byte
	lines map[string]int // by key, with the names of the objects around it, as limits.cores; counted from 1
}

// findKeys finds the line of each key of an object and of the objects in it, up to where the text is not JSON. Objects
// in an array have the prefix of the array, so that the last one's lines remain.
func findKeys(text []byte) keyPositions {
	p := keyPositions{text: text, lines: map[string]int{}}
	p.findInValue(json.NewDecoder(bytes.NewReader(text)), "")
	return p
}

// findInValue reads a value whose keys have a prefix; it returns false where the text cannot be read.
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

func (p keyPositions) findInArray(decoder *json.Decoder, prefix string) bool {
	for decoder.More() {
		if !p.findInValue(decoder, prefix) {
			return false
		}
	}
	_, err := decoder.Token() // the closing bracket
	return err == nil
}

// lineAt returns the line of a byte offset, counted from 1.
func (p keyPositions) lineAt(offset int64) int {
	end := min(max(offset, 0), int64(len(p.text)))
	return 1 + bytes.Count(p.text[:end], []byte("\n"))
}

// locate adds the line, and the key if it is known, to an error of decoding the text.
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
