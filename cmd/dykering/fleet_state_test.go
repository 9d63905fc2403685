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

// convergenceTimeout bounds how long replicas may differ once all links are up. Gossip and the rejoin of dead members
// synchronise most facts within two seconds; the push-pull every 30 s synchronises the rest.
const convergenceTimeout = 40 * time.Second

// sharedServersFleet is a fleet whose brokers call the same servers.
type sharedServersFleet struct {
	*testFleet
	servers []*real.Server
}

func newSharedServersFleet(t *testing.T, servers int, replication string) *sharedServersFleet {
	t.Helper()
	s := &sharedServersFleet{testFleet: newTestFleet(t)}
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
	s.sharedDiscovery = d.Address
	s.extraSettings = "[fleet.replication]\nenabled = true\n" + replication
	return s
}

// replicaState is a broker's replica of the shared state, as its control address returns it.
type replicaState struct {
	Digest   string
	Facts    []replica.Fact
	Counters struct{ Told, Heeded, BytesTold, BytesSent, CaughtUp uint64 }
}

func (b *broker) replicatedState(t *testing.T) (c replicaState) {
	t.Helper()
	res, err := http.Get("http://" + b.controlAddress + "/-/fleet/state")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	return c
}

// hasFact reports whether a broker's replica has a fact.
func (b *broker) hasFact(t *testing.T, origin, server string, word replica.Verdict) bool {
	t.Helper()
	for _, f := range b.replicatedState(t).Facts {
		if f.Origin == origin && strings.HasPrefix(f.Subject, server+"@") && f.Verdict == word {
			return true
		}
	}
	return false
}

// requestFromEach sends n requests to each broker, and returns the number of requests that were served.
func requestFromEach(n int, of ...*broker) (served int) {
	for i := range n {
		for _, b := range of {
			if status, _ := b.sendRequest(fmt.Sprint(b.id, "-", time.Now().UnixNano(), "-", i)); status == http.StatusOK {
				served++
			}
		}
	}
	return served
}

// waitUntilMarkedBad sends requests through brokers until each has marked a server as bad by its own observation.
func (s *sharedServersFleet) waitUntilMarkedBad(server int, by ...*broker) {
	s.t.Helper()
	uid := s.servers[server].UID
	for _, b := range by {
		s.waitAll(20*time.Second, "marks "+uid+" as bad", func(b *broker) bool {
			requestFromEach(3, b)
			return b.hasFact(s.t, b.id, uid, replica.Bad)
		}, b)
	}
}

// waitForSameDigest waits until all replicas have the same digest, and returns how long that took.
func (s *sharedServersFleet) waitForSameDigest(within time.Duration, of ...*broker) time.Duration {
	s.t.Helper()
	return s.waitAll(within, "one digest", func(*broker) bool {
		first := of[0].replicatedState(s.t)
		for _, b := range of[1:] {
			if c := b.replicatedState(s.t); c.Digest != first.Digest {
				return false
			}
		}
		return len(first.Facts) > 0
	}, of[0])
}

// A partition of 30 s, during which each side marks a different server as bad. After it heals, all replicas are equal to the
// result of merging the facts of both sides.
func TestFleetStateConvergesAfterAPartition(t *testing.T) {
	t.Parallel()
	s := newSharedServersFleet(t, 12, "ttl = \"120s\"\n")
	all := s.start(5)
	s.relay.Cut([]string{all[0].gossipAddress, all[1].gossipAddress, all[2].gossipAddress}, []string{all[3].gossipAddress, all[4].gossipAddress})
	cut := time.Now()
	s.servers[1].Kill()
	s.waitUntilMarkedBad(1, all[0], all[1])
	s.servers[2].Kill()
	s.waitUntilMarkedBad(2, all[3], all[4])
	s.waitAll(10*time.Second, "heeds two members of its side", func(b *broker) bool { return b.replicatedState(t).Counters.Heeded > 0 }, all[2])
	if all[0].hasFact(t, "b3", s.servers[2].UID, replica.Bad) {
		t.Error("a fact crossed the partition")
	}
	time.Sleep(time.Until(cut.Add(30 * time.Second))) // also long enough that no broker's last good response counts as evidence any more
	want := replica.New("", replica.Limits{MaxOrigins: 16, FactsPerOrigin: 64, TTL: 2 * time.Minute, MaxClockSkew: time.Minute})
	for _, b := range all {
		for _, f := range b.replicatedState(t).Facts {
			want.Merge(replica.Now{Wall: time.Now()}, f)
		}
	}
	s.relay.Heal()
	took := s.waitForSameDigest(convergenceTimeout, all...)
	if c := all[4].replicatedState(t); c.Digest != want.Digest() {
		t.Errorf("digest %s with %v, want %s of the merged facts", c.Digest, c.Facts, want.Digest())
	}
	s.waitAll(detectionTimeout, "a log line that replicas differed", func(*broker) bool {
		return slices.ContainsFunc(all, hasLogged("fleet.replica.caught_up"))
	}, all[0])
	code, out, errOut := runCommand("fleet", "state", "--control", all[4].controlAddress)
	if code != commandline.ExitOK || !strings.Contains(out, want.Digest()) || !strings.Contains(out, s.servers[2].UID) {
		t.Errorf("fleet state: %d %s%s", code, out, errOut)
	}
	t.Logf("same digest %v after the partition healed; one of 5 members broadcast %d bytes and sent %d bytes in catch-ups", took,
		all[0].replicatedState(t).Counters.BytesTold, all[0].replicatedState(t).Counters.BytesSent)
}

var awayDuration = flag.Duration("away", 0, "if above 2m: further down time of the member in TestFleetStateSurvivesARestartOrCatchesUp")

// A member that is killed restarts after 5 s with the state that it has on disk. With a corrupt file it starts cold, logs that,
// and catches up from a peer. Meanwhile links are slow and lose a fifth of the packets. Right after the restart the member
// serves as many requests as its peers.
func TestFleetStateSurvivesARestartOrCatchesUp(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "replica.db")
	s := newSharedServersFleet(t, 12, "ttl = \"120s\"\n")
	all := s.start(4)
	s.extraSettings += fmt.Sprintf("snapshot = %q\nsnapshot_every = \"200ms\"\n", path)
	restarted := s.join("kept") // the only member with a snapshot
	rest := all
	all = append(append([]*broker(nil), all...), restarted)
	s.waitAll(detectionTimeout, "one view", seesAlive(all), all...)
	s.servers[0].Kill()
	s.waitUntilMarkedBad(0, all[0], all[1])
	s.relay.Loss(0.2)
	s.relay.Slow(faultnet.Delay{Fixed: 20 * time.Millisecond, Jitter: 50 * time.Millisecond, Tail: 0.05, TailBy: 300 * time.Millisecond})
	took := s.waitForSameDigest(convergenceTimeout, all...)
	t.Logf("same digest after %v with 20%% loss and slow links", took)
	restart := func(expect string, wait time.Duration, truncate bool) {
		t.Helper()
		restarted.signal(syscall.SIGKILL)
		restarted.cmd.Wait()
		if truncate {
			if err := os.Truncate(path, 5000); err != nil { // in the middle of bbolt's second page
				t.Fatal(err)
			}
		}
		time.Sleep(wait)
		restarted = s.join("kept")
		all[4] = restarted
		s.waitAll(detectionTimeout, expect, hasLogged(expect), restarted)
		took := s.waitForSameDigest(convergenceTimeout, all...)
		n := 40
		own, peers := requestFromEach(n, restarted), requestFromEach(n, rest[2])
		if own < peers-1 {
			t.Errorf("after %s the member served %d of %d, a peer %d", expect, own, n, peers)
		}
		t.Logf("%s: same digest as the others %v after it could serve, served %d of %d, a peer %d", expect, took, own, n, peers)
	}
	restart("fleet.replica.warm", 5*time.Second, false)
	if !restarted.hasFact(t, "b0", s.servers[0].UID, replica.Bad) {
		t.Error("the restarted member has lost the fact of b0")
	}
	restart("fleet.replica.cold", 5*time.Second, true) // long enough that members accept the id at another address
	if _, err := os.Stat(path + ".refused"); err != nil {
		t.Error(err)
	}
	if *awayDuration > 0 { // all facts on disk have expired
		restart("fleet.replica.cold", *awayDuration, false)
	}
	for _, b := range all {
		if c := b.replicatedState(t).Counters; c.BytesTold+c.BytesSent > 256<<10 {
			t.Errorf("%s sent %d bytes", b.id, c.BytesTold+c.BytesSent)
		}
	}
}

// encodeFacts encodes a message of facts like a member.
func encodeFacts(t *testing.T, facts []replica.Fact) (b []byte) {
	t.Helper()
	m := struct {
		Facts []replica.Fact `codec:"f"`
	}{facts}
	if err := codec.NewEncoderBytes(&b, &codec.MsgpackHandle{}).Encode(m); err != nil {
		t.Fatal(err)
	}
	return b
}

// A member whose clock is 5 s ahead has a wrong fact about a server. Another member sends garbage and claims that all servers
// failed. No broker marks a server because of that, and all requests are served. The first member tries its server again and
// retracts its fact.
func TestFleetStateIgnoresASingleWrongMember(t *testing.T) {
	t.Parallel()
	s := newSharedServersFleet(t, 10, "")
	all := s.start(3)
	s.extraSettings += "clock_offset = \"5s\"\n"
	fast := s.join("fast")
	all = append(append([]*broker(nil), all...), fast)
	s.waitAll(detectionTimeout, "one view", seesAlive(all), all...)
	s.servers[3].Kill()
	s.waitUntilMarkedBad(3, fast)
	if err := s.servers[3].Start(); err != nil {
		t.Fatal(err)
	}
	s.waitAll(10*time.Second, "receives the fact", func(b *broker) bool { return b.hasFact(t, "fast", s.servers[3].UID, replica.Bad) }, all[0])
	liar, err := gossip.Start(gossip.Section{
		Enabled: true, ID: "liar", Bind: "127.0.0.1:0", Seeds: []string{all[1].gossipAddress},
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
		liar.Channel(gossip.KindFacts).Broadcast(fmt.Sprint("lie", i), encodeFacts(t, facts))
	}
	liar.Channel(gossip.KindFacts).Broadcast("garbage", []byte("\xc1garbage"))
	for _, text := range []string{"no message of ours", "stamp from the future"} { // at the member that received the message
		s.waitAll(10*time.Second, text, func(*broker) bool { return slices.ContainsFunc(all, hasLogged(text)) }, all[0])
	}
	s.waitAll(10*time.Second, "receives the false fact", func(b *broker) bool { return b.hasFact(t, "liar", s.servers[0].UID, replica.Bad) }, all...)
	n := 40
	if served := requestFromEach(n, all[:3]...); served < 3*n {
		t.Errorf("%d of %d served while a member sends false facts", served, 3*n)
	}
	for _, b := range all[:3] {
		if c := b.replicatedState(t).Counters; c.Heeded > 0 {
			t.Errorf("%s heeded false facts %d times", b.id, c.Heeded)
		}
	}
	s.waitAll(20*time.Second, "retracts its fact", func(b *broker) bool {
		requestFromEach(2, all...)
		return b.hasFact(t, "fast", s.servers[3].UID, replica.Good) || !b.hasFact(t, "fast", s.servers[3].UID, replica.Bad)
	}, fast)
}
