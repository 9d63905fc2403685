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

// fakeMember implements Broker, and Gossip without any other member.
type fakeMember struct {
	mu      sync.Mutex
	rates   []float64
	receive func([]byte)
}

func (m *fakeMember) Usage(context.Context) ([]core.Usage, error) { return make([]core.Usage, 1), nil }

func (m *fakeMember) SetQuotaShares(a decision.QuotaShares, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rates = slices.Clone(a.TenantRates)
}
func (m *fakeMember) Handle(receive func([]byte)) { m.receive = receive }
func (m *fakeMember) Send(string, []byte) error   { return nil }

// A voter whose ledger was lost learns of it by a heartbeat with a later commit index. It stops voting, and the broker
// spends its floor.
func TestVoterThatLostItsLedgerStopsVotingAndSpendsItsFloor(t *testing.T) {
	m := &fakeMember{}
	observed, logs := observer.New(zapcore.InfoLevel)
	s := Start(Config{
		Self: "a", Weight: 1, Tenants: []string{"one"}, Quotas: []float64{100}, Instances: 4,
		Section: gossip.Budgets{
			Enabled: true, Voters: []string{"a", "b", "c"}, Directory: t.TempDir(), FloorPercent: 20, MaxDriftPercent: 1, ClockRate: 1,
			LeaseDuration: tomlconfig.Duration(300 * time.Millisecond),
		},
	}, m, m, zap.New(observed))
	heartbeat, err := proto.Marshal(&raftpb.Message{
		Type: raftpb.MsgHeartbeat.Enum(), To: proto.Uint64(1), From: proto.Uint64(2),
		Term: proto.Uint64(9), Commit: proto.Uint64(500),
	})
	if err != nil {
		t.Fatal(err)
	}
	m.receive([]byte("garbage"))
	m.receive(encode(envelope{Raft: []byte("garbage")}))
	m.receive(encode(envelope{Raft: heartbeat}))
	for deadline := time.Now().Add(10 * time.Second); logs.FilterMessage("fleet.budget.vote_lost").Len() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the voter still votes after 10 s; its log: %v", logs.All())
		}
	}
	if p := s.State().Shares; len(p) != 1 || p[0].Share != 5 || s.State().Leased {
		t.Errorf("shares %+v (leased: %v), want only the floor of 5", p, s.State().Leased)
	}
	s.Close()
	if m.rates[0] != 0 {
		t.Errorf("rates %v after Close, want 0", m.rates)
	}
}
