package fleetconfig

import (
	"encoding/json"
	"slices"

	"dykering/internal/errkind"
)

// maxKeptDigests is the number of digests of applied changes that a State keeps, to acknowledge a change that is sent
// again. At 16 bytes each they take 128 KiB of every snapshot. A day has some hundred changes.
const maxKeptDigests = 8192

// State is the value that the chain replicates: the configuration, and the identities of the changes that led to it. It is
// immutable. The names of its fields are fixed, since it is stored and sent with gob.
type State struct {
	Document Document
	// Taken are the digests of the applied changes, oldest first. (gob field name, fixed.)
	Taken []Digest
	// TakenVersions are the versions to which the changes in Taken led. It may be shorter than Taken, with the last ones
	// corresponding, where an earlier build has recorded digests alone. (gob field name, fixed.)
	TakenVersions []int64
	// Forgotten is the highest version whose digest is no longer kept: it is unknown whether a change that led to a version
	// up to it has been applied. (gob field name, fixed.)
	Forgotten int64
}

// HasApplied reports whether the change with a digest has been applied, and is still known.
func (s *State) HasApplied(d Digest) bool {
	for i := len(s.Taken) - 1; i >= 0; i-- { // a retry is mostly of a recent change
		if s.Taken[i] == d {
			return true
		}
	}
	return false
}

// HasAppliedAny reports whether the change with one of the digests of Change.Digests has been applied.
func (s *State) HasAppliedAny(digests [2]Digest) bool {
	return s.HasApplied(digests[0]) || s.HasApplied(digests[1])
}

// Next returns the state after a change, or the reason for rejecting it as an *errkind.Error:
//
//   - errkind.Malformed for an unknown operation,
//   - errkind.InvalidConfig for a change, or a configuration after it, that breaks a rule,
//   - errkind.VersionConflict for a base other than the current version,
//   - errkind.Unavailable for such a base where the change may have been applied before.
//
// Whether the change has been applied is for the caller to ask first (HasAppliedAny).
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
	if _, err := Parse(&next.Document); err != nil {
		return nil, err
	}
	return next, nil
}

// versionConflict returns the error for a change that is based on another version than the current one. A change that may
// have been applied so long ago that its digest is no longer kept must not be rejected, since its sender may be retrying
// after a lost acknowledgement.
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
		return s // cannot occur after Next; if it did, it would at each replica alike
	}
	return next
}

func (s *State) stateAfter(c *Change) (*State, error) {
	document, err := c.applyTo(&s.Document)
	if err != nil {
		return nil, errkind.New(errkind.InvalidConfig, err.Error())
	}
	return s.withApplied(document, c.Digest()), nil
}

// withApplied returns the state with a document, and with the digest of the change that led to it. The oldest digests
// beyond maxKeptDigests are dropped.
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
	// The lists are clipped, so that appending copies them: other states share them.
	return &State{
		Document:      document,
		Taken:         append(slices.Clip(digests), digest),
		TakenVersions: append(slices.Clip(versions), document.Version),
		Forgotten:     forgotten,
	}
}
