package fleetconfig

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// Document is a complete configuration. It is immutable.
type Document struct {
	Version  int64 // chosen by the operator; must be higher after each change
	Routes   []Item
	Services []Item
	Limits   []byte // JSON; empty if the operator has set no limits
}

// Item is a named part of a configuration: a route or a service.
type Item struct {
	Name string
	Text []byte // JSON, as the operator sent it
}

// rawDocument is the JSON form of a document. The error messages of encoding/json contain the name of this type, so it must
// not change.
type rawDocument struct {
	Version  int64             `json:"version"`
	Routes   []json.RawMessage `json:"routes"`
	Services []json.RawMessage `json:"services"`
	Limits   json.RawMessage   `json:"limits,omitempty"`
}

// JSON returns the JSON form of a document, with the text of each item as the operator sent it.
func (d *Document) JSON() ([]byte, error) {
	raw := rawDocument{Version: d.Version, Routes: itemTexts(d.Routes), Services: itemTexts(d.Services), Limits: d.Limits}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(raw); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// itemTexts returns the JSON texts of items.
func itemTexts(items []Item) []json.RawMessage {
	return lo.Map(items, func(item Item, _ int) json.RawMessage { return item.Text })
}

// parseDocument parses the JSON form of a document.
func parseDocument(body []byte) (Document, error) {
	var raw rawDocument
	if err := json.Unmarshal(body, &raw); err != nil {
		return Document{}, errors.Wrap(err, "not valid JSON")
	}
	document := Document{Version: raw.Version, Limits: append([]byte(nil), raw.Limits...)}
	var err error
	if document.Routes, err = parseItems(raw.Routes); err != nil {
		return Document{}, err
	}
	document.Services, err = parseItems(raw.Services)
	return document, err
}

// parseItems parses the names of items. The caller has validated with the schema that each item has a name.
func parseItems(raw []json.RawMessage) ([]Item, error) {
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

// modifyItems returns a list with the upserts and without the removals. An upsert replaces the item of the same name or is
// appended. Removals of items that are not in the list are ignored. An item that is both upserted and removed stays.
func modifyItems(items, upserts []Item, removals []string) []Item {
	removed := lo.Associate(removals, func(name string) (string, bool) { return name, true })
	pending := lo.SliceToMap(upserts, func(item Item) (string, Item) { return item.Name, item })
	var modified []Item
	for _, item := range items {
		if replacement, ok := pending[item.Name]; ok {
			modified = append(modified, replacement)
			delete(pending, item.Name)
			continue
		}
		if !removed[item.Name] {
			modified = append(modified, item)
		}
	}
	for _, item := range upserts {
		if _, ok := pending[item.Name]; ok {
			modified = append(modified, item)
			delete(pending, item.Name)
		}
	}
	return modified
}
