package fleetconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"dykering/internal/errkind"
)

// Operation is how a change is made.
type Operation string

// The operations.
const (
	Replace Operation = "replace" // a whole configuration
	Modify  Operation = "modify"  // named items
)

// Change is an operator's change as it was sent.
type Change struct {
	Operation Operation
	Base      int64 // the version that it builds on
	Body      []byte
}

// Digest tells changes apart: the same change sent again has the same one, also with other white space or another order of
// keys.
type Digest [16]byte

// Digest of a change.
func (c *Change) Digest() Digest { return c.digestOf(canonical(c.Body)) }

// Digests are those that a change may be known by: its own, and that of the exact bytes, by which members of an earlier
// version know it.
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

// canonical renders JSON in one way; what is no JSON stays as it is.
func canonical(body []byte) []byte {
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

// mostTaken bounds the digests of taken changes that are kept to acknowledge a change that is sent again.
const mostTaken = 8192

// State is what the core replicates of the configuration. It is never changed in place.
type State struct {
	Document      Document
	Taken         []Digest // of the changes taken, oldest first
	TakenVersions []int64  // the versions that they led to
	// Forgotten is the highest version whose change's digest is no longer kept: whether a change up to it has been taken
	// cannot be told.
	Forgotten int64
}

// HasApplied tells whether a change has been taken.
func (s *State) HasApplied(d Digest) bool {
	for i := len(s.Taken) - 1; i >= 0; i-- {
		if s.Taken[i] == d {
			return true
		}
	}
	return false
}

// HasAppliedAny tells whether a change has been taken that is known by one of some digests.
func (s *State) HasAppliedAny(digests [2]Digest) bool {
	return s.HasApplied(digests[0]) || s.HasApplied(digests[1])
}

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

// Next is the state after a change, or why the change is refused. It decides the same at every replica.
func (s *State) Next(c *Change) (*State, error) {
	if err := checkSchema(c); err != nil {
		return nil, err
	}
	if c.Base != s.Document.Version {
		return nil, s.conflict(c)
	}
	next, err := s.apply(c)
	if err != nil {
		return nil, err
	}
	if next.Document.Version <= s.Document.Version {
		return nil, errkind.New(errkind.InvalidConfig, "version is not above the current one")
	}
	if _, err := Parse(&next.Document); err != nil {
		return nil, err
	}
	return next, nil
}

// conflict refuses a change that builds on another version. One that may have been taken so long ago that it is forgotten
// is not refused: nothing is said of it.
func (s *State) conflict(c *Change) error {
	var told struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(c.Body, &told); err == nil && told.Version <= s.Forgotten {
		return errkind.New(errkind.Unavailable, "it may have been taken long ago")
	}
	return errkind.New(errkind.VersionConflict, "")
}

// Apply is the state after a change that Next has accepted at the head.
func (s *State) Apply(c *Change) *State {
	next, err := s.apply(c)
	if err != nil {
		return s // Next has refused it everywhere
	}
	return next
}

func (s *State) apply(c *Change) (*State, error) {
	var document Document
	var err error
	if c.Operation == Replace {
		document, err = readDocument(c.Body)
	} else {
		document, err = s.Document.modified(c.Body)
	}
	if err != nil {
		return nil, errkind.New(errkind.InvalidConfig, err.Error())
	}
	return s.take(document, c.Digest()), nil
}

// take is the state with a document that a change has led to. The oldest changes are forgotten where there are too many.
func (s *State) take(document Document, digest Digest) *State {
	digests, versions := s.Taken, s.TakenVersions
	forgotten := s.Forgotten
	if drop := len(digests) + 1 - mostTaken; drop > 0 {
		digests = digests[drop:]
	}
	if drop := len(versions) - len(digests); drop > 0 {
		forgotten = versions[drop-1]
		versions = versions[drop:]
	}
	return &State{Document: document, Taken: append(slices.Clip(digests), digest),
		TakenVersions: append(slices.Clip(versions), document.Version), Forgotten: forgotten}
}

func readDocument(body []byte) (Document, error) {
	var raw rawDocument
	if err := json.Unmarshal(body, &raw); err != nil {
		return Document{}, errors.Wrap(err, "not valid JSON")
	}
	document := Document{Version: raw.Version, Limits: append([]byte(nil), raw.Limits...)}
	var err error
	if document.Routes, err = named(raw.Routes); err != nil {
		return Document{}, err
	}
	document.Services, err = named(raw.Services)
	return document, err
}

// modified is a document with named items changed.
func (d *Document) modified(body []byte) (Document, error) {
	var raw rawModification
	if err := json.Unmarshal(body, &raw); err != nil {
		return Document{}, errors.Wrap(err, "not valid JSON")
	}
	routes, err := named(raw.Upsert.Routes)
	if err != nil {
		return Document{}, err
	}
	services, err := named(raw.Upsert.Services)
	if err != nil {
		return Document{}, err
	}
	next := Document{
		Version:  raw.Version,
		Routes:   upserted(d.Routes, routes, raw.Remove.Routes),
		Services: upserted(d.Services, services, raw.Remove.Services),
		Limits:   d.Limits,
	}
	for _, limits := range []json.RawMessage{raw.Limits, raw.Upsert.Limits} {
		if len(limits) > 0 {
			next.Limits = append([]byte(nil), limits...)
		}
	}
	return next, nil
}
