package tomlconfig

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyPosition is the position of a key, or of the header of a table, in the file.
type keyPosition struct {
	key        string // with the indexes of arrays
	line       int    // counted from 1
	start, end int    // byte offsets of its lines in the content that is decoded
}

var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// withoutIndexes converts a key of a file to the form of Key.Name: team[3].name becomes team[].name.
func withoutIndexes(key string) string { return arrayIndex.ReplaceAllString(key, "[]") }

// scan parses the file's expressions. It records the position and the source of each key, reports unknown keys, and collects
// the substitutions of references to environment variables.
func (d *decoder) scan(getenv func(string) (string, bool)) {
	var parser unstable.Parser
	parser.Reset(d.data)
	table := "" // the prefix of the keys that follow
	elements := map[string]int{}
	for parser.NextExpression() {
		expression := parser.Expression()
		name, offset := fullName(expression.Key())
		switch expression.Kind {
		case unstable.Table:
			table = name + "."
			d.scanTable(name, d.addPosition(name, offset))
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d].", name, elements[name])
			elements[name]++
			d.scanTable(name+"[]", d.addPosition(name, offset))
		case unstable.KeyValue:
			name = table + name
			d.scanKey(name, d.addPosition(name, offset), expression.Value(), getenv)
		}
	}
}

// scanTable reports a table without any known key.
func (d *decoder) scanTable(name string, line int) {
	if !d.hasKeysIn(name) {
		d.reportUnknownTable(name, line)
	}
}

// scanKey records the source of a known key and reports an unknown one.
func (d *decoder) scanKey(name string, line int, value *unstable.Node, getenv func(string) (string, bool)) {
	key, ok := d.known[withoutIndexes(name)]
	if !ok {
		if !d.isInlineTable(name) {
			d.reportUnknown(name, line)
		}
		return
	}
	d.sources[name] = fmt.Sprintf("%s:%d", d.path, line)
	if variable, isReference := referenceIn(value); isReference {
		d.resolve(variable, name, key, line, value.Raw, getenv)
	}
}

// fullName joins the parts of a dotted key, and returns the byte offset of the first part.
func fullName(parts unstable.Iterator) (name string, offset int) {
	offset = -1
	for parts.Next() {
		if offset < 0 {
			offset = int(parts.Node().Raw.Offset)
		}
		name = join(name, string(parts.Node().Data))
	}
	return name, offset
}

// addPosition records the position of a key that starts at a byte offset, and returns its line. The lines of the previous
// key end there.
func (d *decoder) addPosition(key string, offset int) int {
	before := d.data[:offset]
	line := 1 + bytes.Count(before, []byte("\n"))
	start := 1 + bytes.LastIndexByte(before, '\n')
	if n := len(d.positions); n > 0 {
		d.positions[n-1].end = start
	}
	d.positions = append(d.positions, keyPosition{key: key, line: line, start: start, end: len(d.data)})
	return line
}

// lineOf returns the last line on which a key occurs, or 0 if the file does not have the key.
func (d *decoder) lineOf(key string) int {
	for _, position := range slices.Backward(d.positions) {
		if position.key == key {
			return position.line
		}
	}
	return 0
}

// positionAt returns the position of the key that a line belongs to: the last key that starts on or before the line.
func (d *decoder) positionAt(line int) (keyPosition, bool) {
	for _, position := range slices.Backward(d.positions) {
		if position.line <= line {
			return position, true
		}
	}
	return keyPosition{}, false
}

// blank returns a copy of data in which the lines of a key are replaced by spaces, so that line numbers do not change.
func blank(data []byte, position keyPosition) []byte {
	blanked := slices.Clone(data)
	for i := position.start; i < position.end; i++ {
		if blanked[i] != '\n' {
			blanked[i] = ' '
		}
	}
	return blanked
}
