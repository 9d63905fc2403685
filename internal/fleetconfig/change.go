package fleetconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"

	"github.com/pkg/errors"
)

// Operation is the kind of a change. Its values are the last segments of the URL paths of the operator's API.
type Operation string

// The operations of the operator's API.
const (
	Replace Operation = "replace" // replaces the complete configuration
	Modify  Operation = "modify"  // adds, replaces or removes named items
)

// Change is an operator's change as it was sent.
type Change struct {
	Operation Operation
	Base      int64  // version that the change is based on; 0 for the first change
	Body      []byte // JSON
}

// Digest identifies a change. It is a truncated SHA-256 of the operation, the base and the body.
type Digest [16]byte

// Digest returns the identity of a change. It does not depend on white space or on the order of keys in the body, so a
// client may encode the body again for a retry.
func (c *Change) Digest() Digest { return c.digestOf(canonicalJSON(c.Body)) }

// Digests returns the digests under which a change may be recorded: its Digest, and the digest of the exact bytes of its
// body, which earlier builds record.
func (c *Change) Digests() [2]Digest { return [2]Digest{c.Digest(), c.digestOf(c.Body)} }

func (c *Change) digestOf(body []byte) Digest {
	hash := sha256.New()
	hash.Write([]byte(c.Operation))
	hash.Write([]byte{0})
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], uint64(c.Base))
	hash.Write(base[:])
	hash.Write(body)
	var digest Digest
	copy(digest[:], hash.Sum(nil))
	return digest
}

// canonicalJSON returns the same text for all equal JSON values. Numbers keep their text. A body that is not valid JSON is
// returned unchanged.
func canonicalJSON(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil || decoder.More() {
		return body
	}
	rendered, err := json.Marshal(value)
	if err != nil {
		return body
	}
	return rendered
}

// rawModification is the JSON form of the body of a Modify change. The error messages of encoding/json contain the name of
// this type, so it must not change.
type rawModification struct {
	Version int64 `json:"version"`
	Upsert  struct {
		Routes   []json.RawMessage `json:"routes"`
		Services []json.RawMessage `json:"services"`
		Limits   json.RawMessage   `json:"limits"`
	} `json:"upsert"`
	Remove struct {
		Routes   []string `json:"routes"`
		Services []string `json:"services"`
	} `json:"remove"`
	Limits json.RawMessage `json:"limits"`
}

// applyTo returns the document that results from applying a change to another document.
func (c *Change) applyTo(d *Document) (Document, error) {
	if c.Operation == Replace {
		return parseDocument(c.Body)
	}
	return d.modified(c.Body)
}

// modified returns the document that results from applying the body of a Modify change.
func (d *Document) modified(body []byte) (Document, error) {
	var raw rawModification
	if err := json.Unmarshal(body, &raw); err != nil {
		return Document{}, errors.Wrap(err, "not valid JSON")
	}
	routes, err := parseItems(raw.Upsert.Routes)
	if err != nil {
		return Document{}, err
	}
	services, err := parseItems(raw.Upsert.Services)
	if err != nil {
		return Document{}, err
	}
	next := Document{
		Version:  raw.Version,
		Routes:   modifyItems(d.Routes, routes, raw.Remove.Routes),
		Services: modifyItems(d.Services, services, raw.Remove.Services),
		Limits:   d.Limits,
	}
	for _, limits := range []json.RawMessage{raw.Limits, raw.Upsert.Limits} {
		if len(limits) > 0 {
			next.Limits = append([]byte(nil), limits...)
		}
	}
	return next, nil
}
