package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"go.uber.org/zap"

	"dykering/internal/commandline"
	"dykering/internal/fleet/gossip"
	"dykering/internal/fleet/membership"
	"dykering/internal/fleet/replica"
	"dykering/internal/lab/faultnet"
	"dykering/internal/lab/real"
	"dykering/internal/tomlconfig"
)

// agree bounds how long copies of the replicated state may differ once links are up: a push-pull each 30 s is the last
// resort, gossip and the join of a member that was dead bring most within a second or two.
const agree = 40 * time.Second

// shared is a fleet whose brokers call the same servers.
type shared struct {
	*fleet
	servers []*real.Server
}

func newShared(t *testing.T, servers int, replication string) *shared {
	t.Helper()
	s := &shared{fleet: newTestFleet(t)}
	for i := range servers {
		x, err := real.StartServer(fmt.Sprintf("s-%08x", i+1), 8, time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		s.servers = append(s.servers, x)
		t.Cleanup(x.Kill)
	}
	d, err := real.StartDiscovery(s.servers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	s.places = d.Address
	s.more = "[fleet.replication]\nenabled = true\n" + replication
	return s
}

// copyOf is a broker's copy of the replicated state, from its second address.
type copyOf struct {
	Digest   string
	Facts    []replica.Fact
	Counters struct{ Told, Heeded, BytesTold, BytesSent, CaughtUp uint64 }
}

func (b *broker) copied(t *testing.T) (c copyOf) {
	t.Helper()
	res, err := http.Get("http://" + b.control + "/-/fleet/state")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	return c
}

// holds tells whether a broker's copy has a fact.
func (b *broker) holds(t *testing.T, origin, server string, word replica.Verdict) bool {
	t.Helper()
	for _, f := range b.copied(t).Facts {
		if f.Origin == origin && strings.HasPrefix(f.Subject, server+"@") && f.Verdict == word {
			return true
		}
	}
	return false
}

// askAll sends each of the brokers so many requests, and counts those served.
func askAll(n int, of ...*broker) (served int) {
	for i := range n {
		for _, b := range of {
			if status, _ := b.ask(fmt.Sprint(b.id, "-", time.Now().UnixNano(), "-", i)); status == http.StatusOK {
				served++
			}
		}
	}
	return served
}

// learnt has a broker ask until it has found out by itself that a server is bad.
func (s *shared) learnt(server int, by ...*broker) {
	s.t.Helper()
	uid := s.servers[server].UID
	for _, b := range by {
		s.waitAll(20*time.Second, "finds "+uid+" bad", func(b *broker) bool {
			askAll(3, b)
			return b.holds(s.t, b.id, uid, replica.Bad)
		}, b)
	}
}

// same waits until all copies have one digest.
func (s *shared) same(within time.Duration, of ...*broker) time.Duration {
	s.t.Helper()
	return s.waitAll(within, "one digest", func(*broker) bool {
		first := of[0].copied(s.t)
		for _, b := range of[1:] {
			if c := b.copied(s.t); c.Digest != first.Digest {
				return false
			}
		}
		return len(first.Facts) > 0
	}, of[0])
}

// A cut into two sides for 30 s, while each learns of other servers that they are bad: after the heal all copies are
// the same, and the one that the merge rule makes of both sides' facts.
func TestFleetStateConvergesAfterAPartition(t *testing.T) {
	t.Parallel()
	s := newShared(t, 12, "ttl = \"120s\"\n")
	all := s.start(5)
	s.relay.Cut([]string{all[0].addr, all[1].addr, all[2].addr}, []string{all[3].addr, all[4].addr})
	cut := time.Now()
	s.servers[1].Kill()
	s.learnt(1, all[0], all[1])
	s.servers[2].Kill()
	s.learnt(2, all[3], all[4])
	s.waitAll(10*time.Second, "heeds two of its side", func(b *broker) bool { return b.copied(t).Counters.Heeded > 0 }, all[2])
	if all[0].holds(t, "b3", s.servers[2].UID, replica.Bad) {
		t.Error("the cut lets facts through")
	}
	time.Sleep(time.Until(cut.Add(30 * time.Second))) // also until nobody's last good answer is evidence any more
	want := replica.New("", replica.Limits{MaxOrigins: 16, FactsPerOrigin: 64, TTL: 2 * time.Minute, MaxClockSkew: time.Minute})
	for _, b := range all {
		for _, f := range b.copied(t).Facts {
			want.Merge(replica.Now{Wall: time.Now()}, f)
		}
	}
	s.relay.Heal()
	took := s.same(agree, all...)
	if c := all[4].copied(t); c.Digest != want.Digest() {
		t.Errorf("digest %s with %v, the rule says %s", c.Digest, c.Facts, want.Digest())
	}
	s.waitAll(detect, "a log tells that copies differed", func(*broker) bool {
		return slices.ContainsFunc(all, said("fleet.replica.caught_up"))
	}, all[0])
	code, out, errOut := command("fleet", "state", "--control", all[4].control)
	if code != commandline.ExitOK || !strings.Contains(out, want.Digest()) || !strings.Contains(out, s.servers[2].UID) {
		t.Errorf("fleet state: %d %s%s", code, out, errOut)
	}
	t.Logf("one digest %v after the heal; of 5 members one told %d bytes and sent %d in catch-ups", took,
		all[0].copied(t).Counters.BytesTold, all[0].copied(t).Counters.BytesSent)
}

var away = flag.Duration("away", 0, "how long a member stays away once more in TestFleetStateSurvivesARestartOrCatchesUp, above 2m")

// A member that is killed comes back after 5 s with what it had on disk; with a corrupt or foreign file it starts cold,
// says so, and catches up from a peer. Meanwhile links lose a fifth and are slow. Its first seconds are served as well
// as its peers'.
func TestFleetStateSurvivesARestartOrCatchesUp(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "replica.db")
	s := newShared(t, 12, "ttl = \"120s\"\n")
	all := s.start(4)
	s.more += fmt.Sprintf("snapshot = %q\nsnapshot_every = \"200ms\"\n", path)
	kept := s.join("kept") // alone with a snapshot
	rest := all
	all = append(append([]*broker(nil), all...), kept)
	s.waitAll(detect, "one view", sees(all), all...)
	s.servers[0].Kill()
	s.learnt(0, all[0], all[1])
	s.relay.Loss(0.2)
	s.relay.Slow(faultnet.Delay{Fixed: 20 * time.Millisecond, Jitter: 50 * time.Millisecond, Tail: 0.05, TailBy: 300 * time.Millisecond})
	took := s.same(agree, all...)
	t.Logf("one digest after %v with 20%% loss and slow links", took)
	again := func(expect string, wait time.Duration, truncate bool) {
		t.Helper()
		kept.signal(syscall.SIGKILL)
		kept.cmd.Wait()
		if truncate {
			if err := os.Truncate(path, 5000); err != nil { // in the middle of bbolt's second page
				t.Fatal(err)
			}
		}
		time.Sleep(wait)
		kept = s.join("kept")
		all[4] = kept
		s.waitAll(detect, expect, said(expect), kept)
		took := s.same(agree, all...)
		n := 40
		own, peers := askAll(n, kept), askAll(n, rest[2])
		if own < peers-1 {
			t.Errorf("after %s it served %d of %d, a peer %d", expect, own, n, peers)
		}
		t.Logf("%s, back with the others' digest %v after it could serve, served %d of %d, a peer %d", expect, took, own, n, peers)
	}
	again("fleet.replica.warm", 5*time.Second, false)
	if !kept.holds(t, "b0", s.servers[0].UID, replica.Bad) {
		t.Error("the word of b0 is gone")
	}
	again("fleet.replica.cold", 5*time.Second, true) // by then its old place is free: members at another address wait for that
	if _, err := os.Stat(path + ".refused"); err != nil {
		t.Error(err)
	}
	if *away > 0 { // what it had on disk is older than any fact lives
		again("fleet.replica.cold", *away, false)
	}
	for _, b := range all {
		if c := b.copied(t).Counters; c.BytesTold+c.BytesSent > 256<<10 {
			t.Errorf("%s sent %d bytes", b.id, c.BytesTold+c.BytesSent)
		}
	}
}

// encoded is a message of facts as members send it.
func encoded(t *testing.T, facts []replica.Fact) (b []byte) {
	t.Helper()
	m := struct {
		Facts []replica.Fact `codec:"f"`
	}{facts}
	if err := codec.NewEncoderBytes(&b, &codec.MsgpackHandle{}).Encode(m); err != nil {
		t.Fatal(err)
	}
	return b
}

// A member whose clock is 5 s ahead is wrong about a server, another sends garbage and says that all servers failed:
// nobody marks a server for it, all is served, and the one that was wrong tries the server and takes its word back.
func TestFleetStateIgnoresASingleWrongMember(t *testing.T) {
	t.Parallel()
	s := newShared(t, 10, "")
	all := s.start(3)
	s.more += "clock_offset = \"5s\"\n"
	fast := s.join("fast")
	all = append(append([]*broker(nil), all...), fast)
	s.waitAll(detect, "one view", sees(all), all...)
	s.servers[3].Kill()
	s.learnt(3, fast)
	if err := s.servers[3].Start(); err != nil {
		t.Fatal(err)
	}
	s.waitAll(10*time.Second, "hears it", func(b *broker) bool { return b.holds(t, "fast", s.servers[3].UID, replica.Bad) }, all[0])
	liar, err := gossip.Start(gossip.Section{
		Enabled: true, ID: "liar", Bind: "127.0.0.1:0", Seeds: []string{all[1].addr},
		Weight: 1, ProbeInterval: tomlconfig.Duration(200 * time.Millisecond), ProbeTimeout: tomlconfig.Duration(100 * time.Millisecond),
		SuspicionMult: 3, IndirectChecks: 3, DeadRetention: tomlconfig.Duration(time.Minute), MaxMembers: 16, Relay: s.relay.Addr(),
	},
		membership.Meta{Started: time.Now()}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	liar.Join()
	defer liar.Close()
	for i, origin := range []string{"liar", "liar", "accomplice"} {
		var facts []replica.Fact
		for _, x := range s.servers {
			facts = append(facts, replica.Fact{
				Origin: origin, Subject: x.UID + "@0", Verdict: replica.Bad, Remaining: 10 * time.Second,
				Stamp: replica.Stamp{Wall: time.Now().Add(time.Duration(i) * 8 * time.Second).UnixMilli()},
			})
		}
		liar.Channel(gossip.KindFacts).Broadcast(fmt.Sprint("lie", i), encoded(t, facts))
	}
	liar.Channel(gossip.KindFacts).Broadcast("garbage", []byte("\xc1garbage"))
	for _, text := range []string{"no message of ours", "stamp from the future"} { // by whom the liar chose to tell
		s.waitAll(10*time.Second, text, func(*broker) bool { return slices.ContainsFunc(all, said(text)) }, all[0])
	}
	s.waitAll(10*time.Second, "hears the lie", func(b *broker) bool { return b.holds(t, "liar", s.servers[0].UID, replica.Bad) }, all...)
	n := 40
	if served := askAll(n, all[:3]...); served < 3*n {
		t.Errorf("%d of %d served while one lies", served, 3*n)
	}
	for _, b := range all[:3] {
		if c := b.copied(t).Counters; c.Heeded > 0 {
			t.Errorf("%s heeded the lie %d times", b.id, c.Heeded)
		}
	}
	s.waitAll(20*time.Second, "takes its word back", func(b *broker) bool {
		askAll(2, all...)
		return b.holds(t, "fast", s.servers[3].UID, replica.Good) || !b.holds(t, "fast", s.servers[3].UID, replica.Bad)
	}, fast)
}
