package tomlconfig

import (
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// A known key is suggested for an unknown one if their edit distance is at most a third of the unknown key's length, or at
// most two for short keys.
const (
	suggestionMinDistance   = 2
	suggestionLengthDivisor = 3
)

// hasKeysIn reports whether the table of this name has a known key.
func (d *decoder) hasKeysIn(table string) bool {
	for known := range d.known {
		if strings.HasPrefix(known, table+".") {
			return true
		}
	}
	return false
}

// isInlineTable reports whether the value of this key is an inline table or an inline array of tables. The decoder does not
// check the keys within; the TOML library decodes them.
func (d *decoder) isInlineTable(key string) bool {
	name := withoutIndexes(key)
	return d.hasKeysIn(name) || d.hasKeysIn(name+"[]")
}

// reportUnknownTable reports an unknown table by its name in the file.
func (d *decoder) reportUnknownTable(table string, line int) {
	d.reportUnknown(strings.TrimSuffix(table, "[]"), line)
}

// reportUnknown reports an unknown key, with a suggestion of the most similar known key or table. It skips keys of a table
// that was reported.
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

// mostSimilar returns the known key or outermost table with the least edit distance to a name, the alphabetically first one
// in a tie. It returns "" if none is similar enough.
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
