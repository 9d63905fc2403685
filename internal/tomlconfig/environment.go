package tomlconfig

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

var (
	// environmentReference matches a value that refers to an environment variable.
	environmentReference = regexp.MustCompile(`^\$\{([A-Za-z_][A-Za-z0-9_]*)\}$`)

	// bareValue matches the texts that may replace a reference without quotes, such as numbers and booleans. They contain
	// no character that could end the TOML value.
	bareValue = regexp.MustCompile(`^[A-Za-z0-9_+.-]+$`)
)

// substitution replaces a byte range of the file's content.
type substitution struct {
	start, end int
	text       string
}

// referenceIn returns the name of the environment variable that a value refers to.
func referenceIn(value *unstable.Node) (variable string, ok bool) {
	if value.Kind != unstable.String {
		return "", false
	}
	match := environmentReference.FindStringSubmatch(string(value.Data))
	if match == nil {
		return "", false
	}
	return match[1], true
}

// resolve looks up the environment variable that the value of a key refers to, and records the substitution of the value,
// whose byte range is raw.
func (d *decoder) resolve(variable, name string, key Key, line int, raw unstable.Range, getenv func(string) (string, bool)) {
	text, isSet := getenv(variable)
	if !isSet {
		d.reportAt(line, name, variable+" is not in the environment")
		return
	}
	isQuoted := key.Field.Type.Kind() == reflect.String || isText(key.Field.Type)
	if isQuoted || !bareValue.MatchString(text) {
		text = quote(text)
	}
	d.substitutions = append(d.substitutions, substitution{start: int(raw.Offset), end: int(raw.Offset + raw.Length), text: text})
	d.sources[name] = "environment " + variable
}

// substitute returns the file's content after all substitutions, and moves the positions of the keys accordingly. It applies
// the substitutions from last to first, so that the offsets of the remaining ones stay valid.
func (d *decoder) substitute() []byte {
	data := d.data
	for _, s := range slices.Backward(d.substitutions) {
		data = slices.Concat(data[:s.start], []byte(s.text), data[s.end:])
		d.movePositions(s.start, len(s.text)-(s.end-s.start))
	}
	return data
}

// movePositions shifts all key offsets after a byte offset by a number of bytes.
func (d *decoder) movePositions(after, by int) {
	for i := range d.positions {
		position := &d.positions[i]
		if position.start > after {
			position.start += by
		}
		if position.end > after {
			position.end += by
		}
	}
}

// quote returns a text as a TOML basic string.
func quote(text string) string {
	const deleteCharacter = 0x7f
	var quoted strings.Builder
	quoted.WriteByte('"')
	for _, c := range text {
		if c == '"' || c == '\\' || c < ' ' || c == deleteCharacter {
			fmt.Fprintf(&quoted, "\\u%04X", c)
		} else {
			quoted.WriteRune(c)
		}
	}
	quoted.WriteByte('"')
	return quoted.String()
}
