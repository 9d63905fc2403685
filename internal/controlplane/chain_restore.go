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

// restoreChain restores the chain's node from disk, or starts one without state. It returns an error where the data
// directory is not set or cannot be opened.
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

// openRing opens a ring and returns its payloads. One that is damaged is discarded and made anew, which it reports.
func openRing(options ringlog.Options, log *slog.Logger) (ring *ringlog.Ring, payloads [][]byte, discarded bool, err error) {
	ring, payloads, err = ringlog.Open(options)
	if errors.Is(err, ringlog.ErrDamaged) {
		ring, err = recreateRing(options, log, err)
		return ring, nil, true, err
	}
	return ring, payloads, false, err
}

// recreateRing deletes a ring whose records cannot be used, and makes it anew.
func recreateRing(options ringlog.Options, log *slog.Logger, cause error) (*ringlog.Ring, error) {
	log.Error("disk.damaged", "error", cause, "directory", filepath.Base(options.Directory), "action", "the copy is discarded")
	if err := os.RemoveAll(options.Directory); err != nil {
		return nil, errors.Wrap(err, "damaged copy")
	}
	ring, _, err := ringlog.Open(options)
	return ring, err
}

// openRecords opens the ring of the chain and decodes its records. A ring whose records cannot be decoded is discarded too:
// the process could else never start again.
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

// startFresh makes a node that has nothing on disk: a member of the first view where the whole system starts for the first
// time, else one that joins. A member that has discarded its records must join under another ID: it may have voted, and
// would break its promises by voting again.
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

// genesisID is the ID of a member of the first view. All members compute the same ones.
func genesisID(address string) chain.MemberID { return chain.MemberID(address + "/0") }

// joinerID is the ID of a member that joins. It is unique, as a member whose disk was lost is another one.
func joinerID(address string) chain.MemberID {
	var b [8]byte
	rand.Read(b[:])
	return chain.MemberID(address + "/" + hex.EncodeToString(b[:]))
}
