package fleetconfig

import (
	"encoding/json"
	"slices"

	"dykering/internal/errkind"
)

// maxKeptDigests bounds the digests of applied changes that a State keeps to recognize retries. With some hundred changes a
// day they cover weeks. At 16 bytes each they take 128 KiB of every snapshot.
const maxKeptDigests = 8192

// State is the replicated value: the configuration, and the digests of the changes that led to it. It is immutable. It is
// stored and sent with encoding/gob, so the names of its fields must not change.
type State struct {
	Document Document
	// Taken has the digests of the applied changes, oldest first.
	Taken []Digest
	// TakenVersions has the versions that the changes in Taken led to. It is shorter than Taken if an earlier build, which did
	// not record versions, applied the first of these changes; its last element then belongs to the last element of Taken.
	TakenVersions []int64
	// Forgotten is the highest version whose digest has been dropped. For a change to this or a lower version, it is unknown
	// whether it has been applied.
	Forgotten int64
}

// HasApplied reports whether a change with the digest has been applied and its digest is still kept.
func (s *State) HasApplied(d Digest) bool {
	for i := len(s.Taken) - 1; i >= 0; i-- { // newest first, since most retries are of a recent change
		if s.Taken[i] == d {
			return true
		}
	}
	return false
}

// HasAppliedAny reports whether a change has been applied that was recorded with one of the digests of Change.Digests.
func (s *State) HasAppliedAny(digests [2]Digest) bool {
	return s.HasApplied(digests[0]) || s.HasApplied(digests[1])
}

// Next returns the state after a change, or the reason for rejecting it as an *errkind.Error:
//
//   - errkind.Malformed for an unknown operation,
//   - errkind.InvalidConfig for a change, or a configuration after it, that breaks a rule,
//   - errkind.VersionConflict for a base other than the current version,
//   - errkind.Unavailable for such a base if the change may have been applied before.
//
// The caller must check first whether the change has already been applied (HasAppliedAny).
func (s *State) Next(c *Change) (*State, error) {
	if err := validateSchema(c); err != nil {
		return nil, err
	}
	if c.Base != s.Document.Version {
		return nil, s.versionConflict(c)
	}
	next, err := s.stateAfter(c)
	if err != nil {
		return nil, err
	}
	if next.Document.Version <= s.Document.Version {
		return nil, errkind.New(errkind.InvalidConfig, "version is not above the current one")
	}
	config, err := Parse(&next.Document)
	if err != nil {
		return nil, err
	}
	if err := config.validateReplacedServices(); err != nil {
		return nil, err
	}
	return next, nil
}

// versionConflict returns the error for a change that is not based on the current version. It is not a rejection if the change
// may have been applied and its digest dropped, since the sender may be retrying after a lost acknowledgement.
func (s *State) versionConflict(c *Change) error {
	var body struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(c.Body, &body); err == nil && body.Version <= s.Forgotten {
		return errkind.New(errkind.Unavailable, "it may have been taken long ago")
	}
	return errkind.New(errkind.VersionConflict, "")
}

// Apply returns the state after a change that Next has accepted at the head of the chain.
func (s *State) Apply(c *Change) *State {
	next, err := s.stateAfter(c)
	if err != nil {
		return s // cannot occur after Next; every replica would keep its state, so they would not diverge
	}
	return next
}

// stateAfter returns the state after a change whose body conforms to the schema. It checks no other rules.
func (s *State) stateAfter(c *Change) (*State, error) {
	document, err := c.applyTo(&s.Document)
	if err != nil {
		return nil, errkind.New(errkind.InvalidConfig, err.Error())
	}
	return s.withApplied(document, c.Digest()), nil
}

// withApplied returns the state with a new document and the digest of the change that led to it. It drops the oldest digests
// beyond maxKeptDigests.
func (s *State) withApplied(document Document, digest Digest) *State {
	digests, versions := s.Taken, s.TakenVersions
	forgotten := s.Forgotten
	if excess := len(digests) + 1 - maxKeptDigests; excess > 0 {
		digests = digests[excess:]
	}
	if excess := len(versions) - len(digests); excess > 0 {
		forgotten = versions[excess-1]
		versions = versions[excess:]
	}
	// Clip forces append to copy the lists, which other states share.
	return &State{
		Document:      document,
		Taken:         append(slices.Clip(digests), digest),
		TakenVersions: append(slices.Clip(versions), document.Version),
		Forgotten:     forgotten,
	}
}
