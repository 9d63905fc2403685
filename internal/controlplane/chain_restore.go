package controlplane

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"dykering/internal/chain"
	"dykering/internal/corestate"
	"dykering/internal/ringlog"
)

// restoreChain restores the chain node from the data directory, or creates a node without state if there are no
// records. It returns an error if the data directory is not set or cannot be opened.
func (s *Server) restoreChain() error {
	directory := s.settings.DataDirectory
	if directory == "" {
		return errors.New("data_directory is not set: the control plane keeps its state on disk")
	}
	options := ringOptions(directory, s.settings.Limits.DiskMB)
	ring, records, discarded, err := openRecords(options, s.log)
	if err != nil {
		return err
	}
	s.chainStore = newChainStore(ring, s.log, func(messages []chain.Envelope) { s.enqueue(func() { s.onPersisted(messages) }) })
	if len(records) == 0 {
		s.startFresh(s.settings.InitialStart && !discarded)
		return nil
	}
	s.chain, s.restoredFromDisk = chain.Restore(s.chainConfig(""), s.now(), records), true
	return nil
}

// openRing opens a ring and returns its payloads. If the ring is damaged, openRing replaces it by an empty one and
// returns discarded = true.
func openRing(options ringlog.Options, log *slog.Logger) (ring *ringlog.Ring, payloads [][]byte, discarded bool, err error) {
	ring, payloads, err = ringlog.Open(options)
	if errors.Is(err, ringlog.ErrDamaged) {
		ring, err = recreateRing(options, log, err)
		return ring, nil, true, err
	}
	return ring, payloads, false, err
}

// recreateRing deletes a ring whose records cannot be used and creates an empty one in its place.
func recreateRing(options ringlog.Options, log *slog.Logger, cause error) (*ringlog.Ring, error) {
	log.Error("disk.damaged", "error", cause, "directory", filepath.Base(options.Directory),
		"action", "the ring is deleted and created again, empty")
	if err := os.RemoveAll(options.Directory); err != nil {
		return nil, errors.Wrap(err, "delete damaged ring")
	}
	ring, _, err := ringlog.Open(options)
	return ring, err
}

// openRecords opens the ring of the chain and decodes its records. A ring whose records cannot be decoded is recreated
// as well: otherwise the process could never start again.
func openRecords(options ringlog.Options, log *slog.Logger) (ring *ringlog.Ring, records []any, discarded bool, err error) {
	ring, payloads, discarded, err := openRing(options, log)
	if err != nil {
		return nil, nil, false, err
	}
	records, err = decodeRecords(payloads)
	if err == nil {
		return ring, records, discarded, nil
	}
	ring.Close()
	ring, err = recreateRing(options, log, err)
	return ring, nil, true, err
}

// startFresh creates a node without state on disk. If first is true, the whole system starts for the first time, and a
// seed becomes a member of the first view. Any other node joins the running core. A member whose records were discarded
// must join under a new ID: it may have voted before, and voting again under the same ID would break its promises.
func (s *Server) startFresh(first bool) {
	seeds := s.settings.SeedInternalAddresses()
	own := s.settings.InternalAddress(s.settings.IPAddress)
	var out chain.Output
	if first && slices.Contains(seeds, own) {
		view := chain.View{Number: 1, Token: 1}
		for _, seed := range seeds {
			view.Voters = append(view.Voters, chain.Member{ID: genesisID(seed), Address: seed})
			view.Chain = append(view.Chain, genesisID(seed))
		}
		view.Holder = view.Chain[0]
		s.chain, out = chain.NewGenesis(s.chainConfig(genesisID(own)), s.now(), view, corestate.Initial())
	} else {
		s.chain, out = chain.NewJoiner(s.chainConfig(joinerID(own)), s.now(), corestate.Initial())
	}
	s.persist(out.Records, nil)
}

// genesisID returns the ID of a member of the first view. All members compute the same IDs from the seeds' addresses.
func genesisID(address string) chain.MemberID { return chain.MemberID(address + "/0") }

// joinerID returns a new unique ID for a member that joins. A member that has lost its disk joins as a different
// member.
func joinerID(address string) chain.MemberID {
	var b [8]byte
	rand.Read(b[:])
	return chain.MemberID(address + "/" + hex.EncodeToString(b[:]))
}
