// Package fleetconfig is the operator's configuration as a replicated value: documents and the changes that lead from
// one to the next, their validation, and the state that the core replicates. It does no input or output.
package fleetconfig

import (
	"bytes"
	"encoding/json"

	"github.com/samber/lo"
)

// Item is a named part of a configuration. Its text is kept as it was sent.
type Item struct {
	Name string
	Text []byte // JSON
}

// Document is a configuration in full.
type Document struct {
	Version  int64
	Routes   []Item
	Services []Item
	Limits   []byte // JSON; empty for none
}

// rawDocument is a document's form in JSON.
type rawDocument struct {
	Version  int64             `json:"version"`
	Routes   []json.RawMessage `json:"routes"`
	Services []json.RawMessage `json:"services"`
	Limits   json.RawMessage   `json:"limits,omitempty"`
}

// JSON renders a document.
func (d *Document) JSON() ([]byte, error) {
	raw := rawDocument{Version: d.Version, Routes: texts(d.Routes), Services: texts(d.Services), Limits: d.Limits}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(raw); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func texts(items []Item) []json.RawMessage {
	return lo.Map(items, func(item Item, _ int) json.RawMessage { return item.Text })
}

// named reads the names of items. The schema has checked that they have one.
func named(raw []json.RawMessage) ([]Item, error) {
	items := make([]Item, 0, len(raw))
	for _, text := range raw {
		var named struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(text, &named); err != nil {
			return nil, err
		}
		items = append(items, Item{Name: named.Name, Text: bytes.Clone(text)})
	}
	return items, nil
}

// upserted is a list with items added, or replaced by name, and others removed.
func upserted(items, upsert []Item, remove []string) []Item {
	gone := lo.Associate(remove, func(name string) (string, bool) { return name, true })
	fresh := lo.SliceToMap(upsert, func(item Item) (string, Item) { return item.Name, item })
	var out []Item
	for _, item := range items {
		if replacement, ok := fresh[item.Name]; ok {
			out = append(out, replacement)
			delete(fresh, item.Name)
			continue
		}
		if !gone[item.Name] {
			out = append(out, item)
		}
	}
	for _, item := range upsert {
		if _, ok := fresh[item.Name]; ok {
			out = append(out, item)
			delete(fresh, item.Name)
		}
	}
	return out
}
