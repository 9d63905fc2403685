package tomlconfig

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyPosition is where a key, or the header of a table, is in the file.
type keyPosition struct {
	key        string // with the indexes of arrays
	line       int    // counted from 1
	start, end int    // of its lines, as byte offsets into the content that is decoded
}

var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// withoutIndexes turns a key of a file into the name that Key has: team[3].name becomes team[].name.
func withoutIndexes(key string) string { return arrayIndex.ReplaceAllString(key, "[]") }

// scan goes through the file's expressions. It records the position and the source of each key, reports keys that are
// not known, and collects the substitutions of references to the environment.
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

// scanTable reports a table of which no key is known.
func (d *decoder) scanTable(name string, line int) {
	if !d.hasKeysIn(name) {
		d.reportUnknownTable(name, line)
	}
}

// scanKey records the source of a key, or reports that it is not known.
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

// fullName joins the parts of a dotted key and returns the byte offset of the first.
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

// addPosition records a key at a byte offset, which ends the lines of the key before it, and returns its line.
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

// lineOf returns the last line on which a key is, 0 if it is not in the file.
func (d *decoder) lineOf(key string) int {
	for _, position := range slices.Backward(d.positions) {
		if position.key == key {
			return position.line
		}
	}
	return 0
}

// positionAt returns the position of the key to which a line belongs: the last one that begins on it or before.
func (d *decoder) positionAt(line int) (keyPosition, bool) {
	for _, position := range slices.Backward(d.positions) {
		if position.line <= line {
			return position, true
		}
	}
	return keyPosition{}, false
}

// blank returns a copy of data with spaces on the lines of a key, so that the lines that follow keep their numbers.
func blank(data []byte, position keyPosition) []byte {
	blanked := slices.Clone(data)
	for i := position.start; i < position.end; i++ {
		if blanked[i] != '\n' {
			blanked[i] = ' '
		}
	}
	return blanked
}
