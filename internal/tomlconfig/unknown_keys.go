package tomlconfig

import (
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// A known key is suggested for an unknown one if their edit distance is at most a third of the latter's length, and for
// short keys at most two.
const (
	suggestionMinDistance   = 2
	suggestionLengthDivisor = 3
)

// hasKeysIn reports whether a known key is in the table of this name.
func (d *decoder) hasKeysIn(table string) bool {
	for known := range d.known {
		if strings.HasPrefix(known, table+".") {
			return true
		}
	}
	return false
}

// isInlineTable reports whether the value of this key is a table, or an array of tables, written in one line. Its inner
// keys are left to the TOML library.
func (d *decoder) isInlineTable(key string) bool {
	name := withoutIndexes(key)
	return d.hasKeysIn(name) || d.hasKeysIn(name+"[]")
}

// reportUnknownTable reports a table that is not known, by its name as in the file.
func (d *decoder) reportUnknownTable(table string, line int) {
	d.reportUnknown(strings.TrimSuffix(table, "[]"), line)
}

// reportUnknown reports a key that is not known, with the known key or table that is most similar to it. Keys of a table
// that was reported are not reported again.
func (d *decoder) reportUnknown(key string, line int) {
	isInReportedTable := func(table string) bool { return strings.HasPrefix(key, table+".") }
	if slices.ContainsFunc(d.unknown, isInReportedTable) {
		return
	}
	d.unknown = append(d.unknown, key)
	text := "not a key of this version"
	if suggestion := d.mostSimilar(withoutIndexes(key)); suggestion != "" {
		text += "; is " + suggestion + " meant?"
	}
	d.reportAt(line, key, text)
}

// mostSimilar returns the known key or outermost table that is nearest to a name, the first in alphabetical order among
// equals; "" if none is near enough.
func (d *decoder) mostSimilar(name string) string {
	nearest := ""
	least := 1 + max(suggestionMinDistance, len(name)/suggestionLengthDivisor)
	consider := func(candidate string) {
		distance := levenshtein.ComputeDistance(name, candidate)
		if distance < least || distance == least && candidate < nearest {
			nearest, least = candidate, distance
		}
	}
	for known := range d.known {
		consider(known)
		table, _, _ := strings.Cut(known, ".")
		consider(strings.TrimSuffix(table, "[]"))
	}
	return nearest
}
