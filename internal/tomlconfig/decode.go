package tomlconfig

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"dykering/internal/validation"
)

// maxErrors bounds the errors reported for one file, and the attempts to decode it.
const maxErrors = 100

// tomlErrorPrefix is the prefix of the TOML library's messages.
const tomlErrorPrefix = "toml: "

// Sources maps each key of a file, with the indexes of arrays, to the origin of its value: "path:line" or
// "environment NAME". A key that is absent from the map has its default.
type Sources map[string]string

// Decode decodes the content of a file into the struct that defaults returns a pointer to. The struct's fields have the
// tags that the package comment lists. Keys that the file does not mention keep their defaults. path is used only in the
// errors and in the sources. Decode reports up to 100 errors, ordered by line; if there are any, the other results are nil.
func Decode[T any](path string, data []byte, defaults func() *T, getenv func(string) (string, bool)) (*T, Sources, []validation.Error) {
	root, sources, errs := DecodeAny(path, data, func() any { return defaults() }, getenv)
	if len(errs) > 0 {
		return nil, nil, errs
	}
	return root.(*T), sources, nil
}

// DecodeAny is Decode for a type that is known only at run time.
func DecodeAny(path string, data []byte, defaults func() any, getenv func(string) (string, bool)) (any, Sources, []validation.Error) {
	if err, ok := checkSyntax(path, data); !ok {
		return nil, nil, []validation.Error{err}
	}
	d := newDecoder(path, data, Keys(defaults()))
	d.scan(getenv)
	root := d.unmarshal(d.substitute(), defaults)
	if root != nil {
		d.checkBounds(reflect.ValueOf(root).Elem())
		d.runCheckers("", reflect.ValueOf(root))
	}
	if len(d.errs) == 0 {
		return root, d.sources, nil
	}
	slices.SortStableFunc(d.errs, func(a, b validation.Error) int { return cmp.Compare(a.Line, b.Line) })
	return nil, nil, d.errs[:min(len(d.errs), maxErrors)]
}

// decoder decodes one file.
type decoder struct {
	path  string
	data  []byte         // the original content of the file
	known map[string]Key // by Key.Name

	sources       Sources
	positions     []keyPosition // in the order of the file
	unknown       []string      // the keys and tables that were reported as unknown
	substitutions []substitution

	errs []validation.Error
}

func newDecoder(path string, data []byte, keys []Key) *decoder {
	d := &decoder{path: path, data: data, known: map[string]Key{}, sources: Sources{}}
	for _, key := range keys {
		d.known[key.Name] = key
	}
	return d
}

// report adds an error for a key, on the key's line in the file. A key without a line is reported as missing.
func (d *decoder) report(key, text string) {
	line := d.lineOf(key)
	if line == 0 {
		text = "missing: " + text
	}
	d.reportAt(line, key, text)
}

// reportAt adds an error for a key on a line.
func (d *decoder) reportAt(line int, key, text string) {
	d.errs = append(d.errs, validation.Error{File: d.path, Line: line, Key: key, Text: text})
}

// isReported reports whether a key already has an error.
func (d *decoder) isReported(key string) bool {
	return slices.ContainsFunc(d.errs, func(err validation.Error) bool { return err.Key == key })
}

// checkSyntax parses the content as TOML. It returns the syntax error, or ok if the content is valid.
func checkSyntax(path string, data []byte) (found validation.Error, ok bool) {
	var discarded map[string]any
	err := toml.Unmarshal(data, &discarded)
	if err == nil {
		return found, true
	}
	found = validation.Error{File: path, Text: err.Error()}
	if located := new(toml.DecodeError); errors.As(err, &located) {
		found.Line, _ = located.Position()
		found.Key = strings.Join(located.Key(), ".")
		found.Text = strings.TrimPrefix(located.Error(), tomlErrorPrefix)
	}
	return found, false
}

// unmarshal decodes data into a struct. The TOML library stops at the first value of a wrong type. unmarshal reports that
// value, blanks it and decodes the data again, so that it finds all such values. It returns nil if an error belongs to no key
// or there are too many errors.
func (d *decoder) unmarshal(data []byte, defaults func() any) any {
	for range maxErrors {
		root := defaults()
		err := toml.Unmarshal(data, root)
		if err == nil {
			return root
		}
		located := new(toml.DecodeError)
		if !errors.As(err, &located) {
			d.reportAt(0, "", err.Error())
			return nil
		}
		position, ok := d.reportWrongType(located)
		if !ok {
			return nil
		}
		data = blank(data, position)
	}
	return nil
}

// reportWrongType reports a value that does not match the type of its key, and returns the position of that key. ok is false
// if the error belongs to no key that can be blanked.
func (d *decoder) reportWrongType(err *toml.DecodeError) (position keyPosition, ok bool) {
	line, _ := err.Position()
	text := strings.TrimPrefix(err.Error(), tomlErrorPrefix)
	position, ok = d.positionAt(line)
	if !ok || strings.HasSuffix(position.key, "]") {
		d.reportAt(line, strings.Join(err.Key(), "."), text)
		return position, false
	}
	if key, isKnown := d.known[withoutIndexes(position.key)]; isKnown && !isText(key.Field.Type) {
		text = "has to be " + describeType(key.Field.Type)
	}
	d.reportAt(position.line, position.key, text)
	return position, true
}

// describeType returns the description of a type in an error message.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return fmt.Sprintf("a list, each element %s", describeType(t.Elem()))
	}
	return "a text in quotes"
}
