package budgets

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"dykering/internal/core"
	"dykering/internal/decision"
	"dykering/internal/fleet/gossip"
	"dykering/internal/tomlconfig"
)

// lone is a broker and a gossip of one.
type lone struct {
	mu    sync.Mutex
	parts []float64
	take  func([]byte)
}

func (l *lone) Usage(context.Context) ([]core.Usage, error) { return make([]core.Usage, 1), nil }
func (l *lone) SetQuotaShares(a decision.QuotaShares, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parts = slices.Clone(a.TenantRates)
}
func (l *lone) Handle(take func([]byte))  { l.take = take }
func (l *lone) Send(string, []byte) error { return nil }

// A voter whose ledger was lost, as the lead's word shows, votes no more; the broker goes on by what it has.
func TestVoterWithoutItsLedger(t *testing.T) {
	l := &lone{}
	seen, logs := observer.New(zapcore.InfoLevel)
	s := Start(Config{
		Self: "a", Weight: 1, Tenants: []string{"one"}, Wholes: []float64{100}, Instances: 4,
		Section: gossip.Budgets{
			Enabled: true, Voters: []string{"a", "b", "c"}, Dir: t.TempDir(), Floor: 20, Drift: 1, Rate: 1,
			Lease: tomlconfig.Duration(300 * time.Millisecond),
		},
	}, l, l, zap.New(seen))
	beat, err := proto.Marshal(&raftpb.Message{
		Type: raftpb.MsgHeartbeat.Enum(), To: proto.Uint64(1), From: proto.Uint64(2),
		Term: proto.Uint64(9), Commit: proto.Uint64(500),
	})
	if err != nil {
		t.Fatal(err)
	}
	l.take([]byte("garbage"))
	l.take(encode(envelope{Raft: []byte("garbage")}))
	l.take(encode(envelope{Raft: beat}))
	for end := time.Now().Add(10 * time.Second); logs.FilterMessage("fleet.budget.vote_lost").Len() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it votes on: %v", logs.All())
		}
	}
	if p := s.State().Parts; len(p) != 1 || p[0].Part != 5 || s.State().Leased {
		t.Errorf("it may spend %+v, want its floor", p)
	}
	s.Close()
	if l.parts[0] != 0 {
		t.Errorf("closed, it spends %v", l.parts)
	}
}
