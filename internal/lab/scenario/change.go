package scenario

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"dykering/internal/tomlconfig"
	"dykering/internal/validation"
)

// Change sets a key of a scenario to another value. Experiments contain changes as text, for example
// "callers.rate = 200" or `kind[0].speed = "1..2"`. The quotes of the value may be left out.
type Change struct {
	Key   string
	Value any
}

var changePattern = regexp.MustCompile(`^\s*([a-z_]+(?:\[\d+\])?(?:\.[a-z_]+(?:\[\d+\])?)*)\s*=\s*(\S.*?)\s*$`)

// ParseChange parses the text of a change.
func ParseChange(text string) (c Change, err error) {
	m := changePattern.FindStringSubmatch(text)
	if m == nil {
		return c, fmt.Errorf("%q is not a change of a scenario key, such as callers.rate = 200", text)
	}
	var got map[string]any
	if toml.Unmarshal([]byte("v = "+m[2]), &got) != nil {
		got = map[string]any{"v": m[2]}
	}
	return Change{m[1], got["v"]}, nil
}

// LoadWith reads a scenario file and applies changes to it. Errors of the changed text have no line, since
// the lines are not those of the file.
func LoadWith(path string, changes []Change) (*Scenario, []validation.Error) {
	data, found := tomlconfig.Read(path)
	if len(found) > 0 {
		return nil, found
	}
	if _, found = Parse(path, data); len(found) > 0 || len(changes) == 0 {
		s, _ := Parse(path, data)
		return s, found
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, []validation.Error{{File: path, Text: err.Error()}}
	}
	for _, c := range changes {
		if err := c.apply(tree); err != nil {
			return nil, []validation.Error{{File: path, Key: c.Key, Text: err.Error()}}
		}
	}
	text, err := toml.Marshal(tree)
	if err != nil {
		return nil, []validation.Error{{File: path, Text: err.Error()}}
	}
	s, found := Parse(path, text)
	for i := range found {
		found[i].Line = 0
		found[i].Text += " (after the changes)"
	}
	return s, found
}

// apply sets the value in a tree of TOML tables. It creates missing tables, but no missing elements of arrays.
func (c Change) apply(tree map[string]any) error {
	keys := strings.Split(c.Key, ".")
	for i, key := range keys {
		name, index, indexed := strings.Cut(strings.TrimSuffix(key, "]"), "[")
		last := i == len(keys)-1
		switch {
		case indexed:
			elements, ok := tree[name].([]any)
			n, err := strconv.Atoi(index)
			if !ok || err != nil || n >= len(elements) {
				return fmt.Errorf("there is no %s in the scenario", key)
			}
			if last {
				elements[n] = c.Value
				return nil
			}
			if tree, ok = elements[n].(map[string]any); !ok {
				return fmt.Errorf("%s is not a table", key)
			}
		case last:
			tree[name] = c.Value
		default:
			next, ok := tree[name].(map[string]any)
			if !ok {
				if tree[name] != nil {
					return fmt.Errorf("%s is not a table", name)
				}
				next = map[string]any{}
				tree[name] = next
			}
			tree = next
		}
	}
	return nil
}
