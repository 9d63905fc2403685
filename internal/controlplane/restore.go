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
	"dykering/internal/fleetconfig"
	"dykering/internal/ringlog"
)

// restore reads what is on disk, or begins anew.
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

// openRing opens a ring, and makes it anew where what was stored cannot be read. Discarded tells that it did.
func openRing(options ringlog.Options, log *slog.Logger) (ring *ringlog.Ring, payloads [][]byte, discarded bool, err error) {
	ring, payloads, err = ringlog.Open(options)
	if errors.Is(err, ringlog.ErrDamaged) {
		ring, err = discardRing(options, log, err)
		return ring, nil, true, err
	}
	return ring, payloads, false, err
}

// discardRing makes a ring anew whose records cannot be used.
func discardRing(options ringlog.Options, log *slog.Logger, why error) (*ringlog.Ring, error) {
	log.Error("disk.damaged", "error", why, "directory", filepath.Base(options.Directory), "action", "the copy is discarded")
	if err := os.RemoveAll(options.Directory); err != nil {
		return nil, errors.Wrap(err, "damaged copy")
	}
	ring, _, err := ringlog.Open(options)
	return ring, err
}

// openRecords opens the ring of the chain and decodes its records. A copy that cannot be decoded is made anew likewise: the
// process would else end again and again.
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
	ring, err = discardRing(options, log, err)
	return ring, nil, true, err
}

// begin makes a member that has nothing on disk: one of the first view where the whole system starts for the first time,
// else one that joins. Who has had a copy, and discarded it, joins: it may have voted in the first view.
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
		s.chain, out = chain.NewGenesis(s.chainConfig(genesisID(own)), s.now(), view, &fleetconfig.State{})
	} else {
		s.chain, out = chain.NewJoiner(s.chainConfig(freshID(own)), s.now(), &fleetconfig.State{})
	}
	s.persist(out.Records, nil)
}

func genesisID(address string) chain.MemberID { return chain.MemberID(address + "/0") }

func freshID(address string) chain.MemberID {
	var b [8]byte
	rand.Read(b[:])
	return chain.MemberID(address + "/" + hex.EncodeToString(b[:]))
}
