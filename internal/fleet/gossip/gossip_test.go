package gossip

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"dykering/internal/fleet/membership"
	"dykering/internal/tomlconfig"
)

// startMember starts a member with short probe intervals and joins it through the seeds.
func startMember(t *testing.T, id string, seeds ...string) *Gossip {
	t.Helper()
	s := *DefaultSection()
	s.Enabled, s.ID, s.Bind, s.Seeds = true, id, "127.0.0.1:0", seeds
	s.ProbeInterval, s.ProbeTimeout = tomlconfig.Duration(100*time.Millisecond), tomlconfig.Duration(50*time.Millisecond)
	g, err := Start(s, membership.Meta{Zone: "z1", Started: time.Now()}, zap.NewExample())
	if err != nil {
		t.Fatal(err)
	}
	g.Join()
	return g
}

// On memberlist's own transport, as in production, a subscriber receives a join and a leave with their reasons, and a
// member without a subscriber counts no change as lost.
func TestSubscriberReceivesJoinAndLeaveWithTheirReasons(t *testing.T) {
	a := startMember(t, "a")
	defer a.Close()
	changes := a.Changes()
	b := startMember(t, "b", a.View().Members[0].Addr)
	want := []membership.Reason{membership.Joined, membership.LeaveAnnounced}
	for _, reason := range want {
		select {
		case c := <-changes:
			if c.Member.ID != "b" || c.Reason != reason || c.Member.Meta.Zone != "z1" {
				t.Fatalf("change %+v, want reason %q for member b", c, reason)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("no change within 10 s, want reason %q for member b", reason)
		}
		if reason == membership.Joined {
			for deadline := time.Now().Add(10 * time.Second); len(b.View().Members) != 2; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(deadline) { // b's view owner publishes its view asynchronously
					t.Fatalf("view of b holds %v, want 2 members", b.View().Members)
				}
			}
			if err := b.Close(); err != nil {
				t.Error(err)
			}
		}
	}
	if n := b.Counters().Lost.Load(); n != 0 || b.Counters().PacketsOut.Load() == 0 {
		t.Errorf("b lost %d changes, sent %d packets", n, b.Counters().PacketsOut.Load())
	}
}

// When a member announces itself again, memberlist writes to its node at the other members. The view owner has to read
// copies of the nodes: without them the race detector reports the concurrent accesses.
func TestViewHasNoDataRaceWithMemberlistsUpdates(t *testing.T) {
	a := startMember(t, "a")
	defer a.Close()
	changes := a.Changes()
	b := startMember(t, "b", a.View().Members[0].Addr)
	defer b.Close()
	select {
	case <-changes:
	case <-time.After(10 * time.Second):
		t.Fatal("a has not received the join of b")
	}
	const announcements = 8
	for range announcements {
		if err := b.list.UpdateNode(10 * time.Second); err != nil { // returns once the announcement was sent
			t.Fatal(err)
		}
	}
	if id, ok := (Channel{gossip: a}).RandomPeer(); !ok || id != "b" {
		t.Errorf("random peer of a is %q (found: %v), want b", id, ok)
	}
	if err := (Channel{gossip: a}).Send("c", nil); err == nil {
		t.Error("sending to c succeeded, but c is not a member")
	}
}
