package operator

import (
	"maps"
	"slices"

	"dykering/internal/tomlconfig"
)

// Change is a key whose value differs between two files. From and To are formatted like tomlconfig.Value.Text. From is empty
// for an added key, and To for a removed one.
type Change struct{ Key, From, To string }

// Changes returns the differences between two files: first the changed and added keys in the order of to, then the removed
// keys by name. The values of secrets are compared but masked in the result.
func Changes(from, to *File) []Change {
	var changes []Change
	remaining := map[string]tomlconfig.Value{}
	for _, value := range from.Values() {
		remaining[value.Key] = value
	}
	for _, value := range to.Values() {
		previous, ok := remaining[value.Key]
		if !ok || previous.Unmasked != value.Unmasked {
			changes = append(changes, Change{Key: value.Key, From: previous.Text, To: value.Text})
		}
		delete(remaining, value.Key)
	}
	for _, key := range slices.Sorted(maps.Keys(remaining)) {
		changes = append(changes, Change{Key: key, From: remaining[key].Text})
	}
	return changes
}
