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

// Change is a value that an experiment gives a key of a scenario, as "callers.rate = 200" or `kind[0].speed = "1..2"`;
// quotes may be left out.
type Change struct {
	Key   string
	Value any
}

var aChange = regexp.MustCompile(`^\s*([a-z_]+(?:\[\d+\])?(?:\.[a-z_]+(?:\[\d+\])?)*)\s*=\s*(\S.*?)\s*$`)

// ParseChange reads one.
func ParseChange(text string) (c Change, err error) {
	m := aChange.FindStringSubmatch(text)
	if m == nil {
		return c, fmt.Errorf("%q is not a change, as callers.rate = 200", text)
	}
	var got map[string]any
	if toml.Unmarshal([]byte("v = "+m[2]), &got) != nil {
		got = map[string]any{"v": m[2]}
	}
	return Change{m[1], got["v"]}, nil
}

// LoadWith reads a file and makes changes to it. Faults that they bring are of the changed text, and name no line.
func LoadWith(path string, changes []Change) (*Scenario, []validation.Error) {
	data, wrong := tomlconfig.Read(path)
	if len(wrong) > 0 {
		return nil, wrong
	}
	if _, wrong = Parse(path, data); len(wrong) > 0 || len(changes) == 0 {
		s, _ := Parse(path, data)
		return s, wrong
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
	s, wrong := Parse(path, text)
	for i := range wrong {
		wrong[i].Line = 0 // it is no line of the file's
		wrong[i].Text += " (with the changes made to it)"
	}
	return s, wrong
}

// apply sets a value in a tree of TOML's tables. Tables that are missing are made; parts of arrays are not.
func (c Change) apply(tree map[string]any) error {
	keys := strings.Split(c.Key, ".")
	for i, key := range keys {
		name, index, indexed := strings.Cut(strings.TrimSuffix(key, "]"), "[")
		last := i == len(keys)-1
		switch {
		case indexed:
			parts, ok := tree[name].([]any)
			n, err := strconv.Atoi(index)
			if !ok || err != nil || n >= len(parts) {
				return fmt.Errorf("there is no %s", key)
			}
			if last {
				parts[n] = c.Value
				return nil
			}
			if tree, ok = parts[n].(map[string]any); !ok {
				return fmt.Errorf("%s is no table", key)
			}
		case last:
			tree[name] = c.Value
		default:
			next, ok := tree[name].(map[string]any)
			if !ok {
				if tree[name] != nil {
					return fmt.Errorf("%s is no table", name)
				}
				next = map[string]any{}
				tree[name] = next
			}
			tree = next
		}
	}
	return nil
}
