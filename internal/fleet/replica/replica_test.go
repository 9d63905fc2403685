package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{MaxOrigins: 8, FactsPerOrigin: 4, TTL: 15 * time.Second, MaxClockSkew: 10 * time.Second}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// nowAt returns a time after startTime on both clocks.
func nowAt(d time.Duration) Now { return Now{Mono: d, Wall: startTime.Add(d)} }

// drawFacts draws facts that contradict, repeat and follow each other, about more subjects than the limit for one origin.
func drawFacts(t *rapid.T) []Fact {
	one := rapid.Custom(func(t *rapid.T) Fact {
		return Fact{
			Origin:    fmt.Sprint("b", rapid.IntRange(1, 4).Draw(t, "origin")),
			Verdict:   Verdict(rapid.IntRange(1, 2).Draw(t, "verdict")),
			Subject:   fmt.Sprint("s", rapid.IntRange(1, 7).Draw(t, "subject")),
			Remaining: time.Duration(rapid.IntRange(1, 15).Draw(t, "remaining")) * time.Second,
			Stamp: Stamp{
				Wall:    startTime.UnixMilli() + rapid.Int64Range(0, 5).Draw(t, "wall"),
				Logical: uint32(rapid.IntRange(0, 1).Draw(t, "logical")),
			},
		}
	})
	return rapid.SliceOfN(one, 0, 40).Draw(t, "facts")
}

// storeOf returns a store that has merged the given facts.
func storeOf(fs []Fact) *Store {
	s := New("me", limits)
	for _, f := range fs {
		s.Merge(nowAt(0), f)
	}
	return s
}

// Copies that have received the same facts are equal, whatever the order, the repetitions and the intermediate copies,
// until the facts' lifetimes end.
func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawFacts(t), drawFacts(t), drawFacts(t)
		all := append(append(append([]Fact(nil), a...), b...), c...)
		want := storeOf(all)
		mixed := append(append([]Fact(nil), all...), all...) // each fact twice, in another order
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rng.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
		ab := append(storeOf(a).Facts(nowAt(0)), storeOf(b).Facts(nowAt(0))...)
		bc := append(storeOf(b).Facts(nowAt(0)), storeOf(c).Facts(nowAt(0))...)
		for name, got := range map[string]*Store{
			"shuffled repetitions": storeOf(mixed), "(a b) c": storeOf(append(storeOf(ab).Facts(nowAt(0)), c...)),
			"a (b c)": storeOf(append(append([]Fact(nil), a...), storeOf(bc).Facts(nowAt(0))...)),
		} {
			if fmt.Sprint(got.Facts(nowAt(0))) != fmt.Sprint(want.Facts(nowAt(0))) || got.Digest() != want.Digest() {
				t.Fatalf("%s: digest %s, facts %v, want digest %s, facts %v",
					name, got.Digest(), got.Facts(nowAt(0)), want.Digest(), want.Facts(nowAt(0)))
			}
		}
		// After two copies have exchanged summaries and differing facts, they are equal and have nothing more to send.
		x, y := storeOf(a), storeOf(b)
		for _, f := range y.Differing(nowAt(0), x.Summary()) {
			x.Merge(nowAt(0), f)
		}
		for _, f := range x.Differing(nowAt(0), y.Summary()) {
			y.Merge(nowAt(0), f)
		}
		if x.Digest() != y.Digest() || len(x.Differing(nowAt(0), y.Summary())) > 0 {
			t.Fatalf("digests %s and %s after the exchange, or facts still differ", x.Digest(), y.Digest())
		}
		// The digest depends only on the held facts, and each fact expires by itself.
		for d := time.Second; d <= limits.TTL; d += time.Second {
			x.Expire(nowAt(d))
		}
		if x.Digest() != New("me", limits).Digest() || x.Len() != 0 {
			t.Fatalf("digest is %s after all facts expired, want that of an empty store", x.Digest())
		}
	})
}

// The stamps of a broker's own facts follow those of all received facts, even if its clock is behind. A malformed fact
// is rejected with its reason.
func TestOwnFactsFollowReceivedOnesAndMalformedFactsAreRejected(t *testing.T) {
	s := New("me", limits)
	ahead := Fact{
		Origin: "fast", Subject: "s1", Stamp: Stamp{Wall: startTime.Add(5 * time.Second).UnixMilli()},
		Verdict: Bad, Remaining: time.Second,
	}
	if changed, rejection := s.Merge(nowAt(0), ahead); !changed || rejection != "" {
		t.Fatalf("fact 5 s ahead of the clock: changed %v, rejection %q", changed, rejection)
	}
	if f, ok := s.Record(nowAt(0), "s1", Good, time.Hour); !ok || f.Stamp.Compare(ahead.Stamp) <= 0 || f.Remaining != limits.TTL {
		t.Errorf("own fact %+v, %v: want a later stamp than the received fact's and the maximum TTL", f, ok)
	}
	if _, ok := s.Record(nowAt(time.Second), "s1", Good, time.Hour); ok {
		t.Error("recording the same verdict again returned a fact to send")
	}
	if a := s.PeerEjections(nowAt(0), 100, EjectionRules{MinWitnesses: 1, MaxShareOfOrigin: 0.3, MaxShare: 0.2}); len(a) != 1 {
		t.Errorf("peer ejections %v, want the server that the broker with the fast clock reported", a)
	}
	// A Good fact of a second broker prevents the ejection, although its stamp is older.
	s.Merge(nowAt(0), Fact{
		Origin: "slow", Subject: "s1", Stamp: Stamp{Wall: startTime.UnixMilli()}, Verdict: Good, Remaining: time.Second,
	})
	if a := s.PeerEjections(nowAt(0), 100, EjectionRules{MinWitnesses: 1, MaxShareOfOrigin: 0.3, MaxShare: 0.2}); len(a) != 0 {
		t.Errorf("peer ejections %v, want none for a server that another broker reports as good", a)
	}
	ok := Fact{Origin: "x", Subject: "s", Stamp: Stamp{Wall: startTime.UnixMilli()}, Verdict: Bad, Remaining: time.Second}
	change := func(do func(*Fact)) Fact { f := ok; do(&f); return f }
	for want, f := range map[Rejection]Fact{
		Future:    change(func(f *Fact) { f.Stamp.Wall = startTime.Add(11 * time.Second).UnixMilli() }),
		Malformed: change(func(f *Fact) { f.Verdict = 9 }),
	} {
		if changed, rejection := s.Merge(nowAt(0), f); changed || rejection != want {
			t.Errorf("%+v: changed %v, rejection %q, want %q", f, changed, rejection, want)
		}
	}
	// A fact that an earlier process of this broker recorded with a clock that was ahead is merged, and a new fact of this
	// broker replaces it.
	mine := change(func(f *Fact) { f.Origin, f.Stamp.Wall = "me", startTime.Add(9*time.Second).UnixMilli() })
	if changed, rejection := s.Merge(nowAt(0), mine); !changed || rejection != "" {
		t.Errorf("fact of an earlier process: changed %v, rejection %q", changed, rejection)
	}
	if f, ok := s.Record(nowAt(0), "s", Good, time.Second); !ok || f.Stamp.Compare(mine.Stamp) <= 0 {
		t.Errorf("own fact %+v, %v: want a later stamp than that of the earlier process", f, ok)
	}
	for i := range 2 * limits.MaxOrigins {
		s.Merge(nowAt(0), change(func(f *Fact) { f.Origin = fmt.Sprint("o", i) }))
	}
	if changed, rejection := s.Merge(nowAt(0), change(func(f *Fact) { f.Origin = "one more" })); changed || rejection != Full {
		t.Errorf("one origin too many: changed %v, rejection %q, want %q", changed, rejection, Full)
	}
}

// Whatever other brokers report, peer ejections cover at most the allowed share of the servers, and the bad verdicts of
// a broker that reports too many servers are ignored.
func TestPeerEjectionsAreBoundedWhateverOthersReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 60).Draw(t, "servers")
		r := EjectionRules{MinWitnesses: rapid.IntRange(1, 3).Draw(t, "witnesses"), MaxShareOfOrigin: 0.3, MaxShare: 0.2}
		s := New("me", Limits{MaxOrigins: 20, FactsPerOrigin: 100, TTL: 15 * time.Second, MaxClockSkew: time.Second})
		reports := map[string]int{}
		for range rapid.IntRange(0, 300).Draw(t, "reports") {
			f := Fact{
				Origin:  fmt.Sprint("b", rapid.IntRange(1, 10).Draw(t, "origin")),
				Subject: fmt.Sprint("s", rapid.IntRange(1, servers).Draw(t, "subject")),
				Stamp:   Stamp{Wall: startTime.UnixMilli()}, Verdict: Bad, Remaining: time.Second,
			}
			if changed, _ := s.Merge(nowAt(0), f); changed {
				reports[f.Origin]++
			}
		}
		for i := range servers { // one broker reports all servers as bad
			s.Merge(nowAt(0), Fact{
				Origin: "liar", Subject: fmt.Sprint("s", i+1), Stamp: Stamp{Wall: startTime.UnixMilli()},
				Verdict: Bad, Remaining: time.Second,
			})
		}
		credible := 0
		for _, n := range reports {
			if float64(n) <= max(r.MaxShareOfOrigin*float64(servers), 1) {
				credible++
			}
		}
		bad := s.PeerEjections(nowAt(0), servers, r)
		if float64(len(bad)) > r.MaxShare*float64(servers) {
			t.Fatalf("%d of %d servers ejected, want at most the share %v", len(bad), servers, r.MaxShare)
		}
		for _, a := range bad {
			if a.Witnesses < r.MinWitnesses || servers > 3 && a.Witnesses > credible {
				t.Fatalf("%+v, want at least %d witnesses of %d credible brokers", a, r.MinWitnesses, credible)
			}
		}
	})
}
