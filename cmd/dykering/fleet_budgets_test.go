package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dykering/internal/commandline"
	"dykering/internal/fleet/budgets"
	"dykering/internal/lab/faultnet"
)

// whole is the quota of the one tenant in these tests, in requests a second, of which a fifth is floors.
const (
	whole     = 100.0
	lease     = 2 * time.Second
	floorPart = 0.2
)

// shares is a fleet that divides a quota: b0, b1 and b2 vote.
type shares struct {
	*fleet
	ever []*broker // also those that are gone: their lines count
	dirs string
	of   int // members that floors are set aside for
}

func newShares(t *testing.T, members int) *shares {
	t.Helper()
	return &shares{fleet: newTestFleet(t), dirs: t.TempDir(), of: members}
}

// start starts a member, with further keys of [fleet.budgets].
func (s *shares) begin(id, more string) *broker {
	s.t.Helper()
	s.more = fmt.Sprintf("[fleet.budgets]\nenabled = true\nvoters = [\"b0\", \"b1\", \"b2\"]\ndir = %q\nfloor = %d\nlease = %q\n%s",
		s.dirs+"/"+id, int(100*floorPart), lease, more)
	s.settings = map[string]string{`"instances":1`: fmt.Sprintf(`"instances":%d,"tenants":[{"name":"one","quotaPerS":%v}]`, s.of, whole)}
	b := s.join(id)
	s.ever = append(s.ever, b)
	return b
}

func (s *shares) beginAll(n int) []*broker {
	s.t.Helper()
	for i := range n {
		s.begin(fmt.Sprint("b", i), "")
	}
	s.waitAll(detect, "one view", sees(s.brokers), s.brokers...)
	s.waitAll(detect, "a lease", leased(s.t), s.brokers...)
	return slices.Clone(s.brokers)
}

func (b *broker) budget(t *testing.T) (st budgets.State) {
	t.Helper()
	client := http.Client{Timeout: 2 * time.Second}
	res, err := client.Get("http://" + b.control + "/-/fleet/budgets")
	if err != nil {
		return st // it is stalled
	}
	defer res.Body.Close()
	json.NewDecoder(res.Body).Decode(&st)
	return st
}

// answeredBudget asks until a process has answered with its quota shares: one that is short of processor time may let a call
// time out.
func (b *broker) answeredBudget(t *testing.T) budgets.State {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if st := b.budget(t); len(st.Shares) > 0 {
			return st
		}
	}
	t.Fatalf("%s: no quota shares within 10 s: %v", b.id, b.snapshot())
	return budgets.State{}
}

func leased(t *testing.T) func(*broker) bool {
	t.Helper()
	return func(b *broker) bool { return b.budget(t).Leased }
}

// span is a time in which a broker might spend a part.
type span struct {
	from, until int64
	part        float64
	who         string
	version     uint64
}

// check finds the instant at which the parts by the brokers' own logs add up to most, and fails if that is past the whole.
// A lease counts until the broker says that it took the next or fell to its floor, or until its end.
func (s *shares) check() (most float64) {
	s.t.Helper()
	var spans []span
	for _, b := range s.ever {
		b.mu.Lock()
		var own []span
		for _, line := range b.budgets {
			var l struct {
				Event   string
				Version uint64
				Parts   []float64
				From    int64 `json:"from_us"`
				Until   int64 `json:"until_us"`
			}
			if json.Unmarshal([]byte(line), &l) != nil || len(l.Parts) != 1 {
				continue
			}
			if n := len(own); n > 0 {
				own[n-1].until = min(own[n-1].until, l.From)
			}
			if l.Event == "fleet.budget.lease" { // beside the floor, that all have at all times
				own = append(own, span{l.From, l.Until, l.Parts[0] - floorPart*whole/float64(s.of), b.id, l.Version})
			}
		}
		b.mu.Unlock()
		spans = append(spans, own...)
	}
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	var worst []span
	for _, at := range spans { // the sum rises only where one begins
		sum, held := 0.0, []span(nil)
		for _, x := range spans {
			if x.from <= at.from && at.from < x.until {
				sum += x.part
				held = append(held, x)
			}
		}
		if sum > most {
			most, worst = sum, held
		}
	}
	if most > whole*(1-floorPart)+0.01 {
		s.t.Errorf("leases of %.2f at once, of %.0f: %+v", most, whole*(1-floorPart), worst)
	}
	if len(spans) < 2*len(s.ever) {
		s.t.Errorf("%d leases in the logs of %d processes tell nothing", len(spans), len(s.ever))
	}
	return most
}

// load has a broker asked so many requests a second, until stop is closed.
func (b *broker) load(perS float64, stop chan struct{}, wg *sync.WaitGroup) {
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perS))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-tick.C:
			case <-stop:
				return
			}
			b.ask(fmt.Sprint(b.id, "-load-", time.Now().UnixNano()))
		}
	})
}

// cutFor is how long the minority is cut off.
const cutFor = 60 * time.Second

// A cut into a majority and a minority, under uneven load: the minority falls to its floor once its leases have ended,
// the majority's parts grow only by then, and the sum by the logs never passes the whole. What a part allows is what
// is admitted. After the heal all have leases again.
func TestFleetBudgetsPartitionedMinorityFallsToItsFloor(t *testing.T) {
	t.Parallel()
	s := newShares(t, 6) // one comes later
	all := s.beginAll(5)
	stop, wg := make(chan struct{}), &sync.WaitGroup{}
	defer wg.Wait()
	defer close(stop)
	all[0].load(60, stop, wg) // ten times another's
	all[3].load(6, stop, wg)
	s.waitAll(20*time.Second, "the whole is where demand is", func(b *broker) bool {
		p := b.answeredBudget(t).Shares[0]
		return p.Demand > 20 && p.Share > 2*whole/5
	}, all[0])
	s.relay.Cut([]string{all[0].addr, all[1].addr, all[2].addr}, []string{all[3].addr, all[4].addr})
	cut := time.Now()
	s.waitAll(2*lease, "falls to its floor", func(b *broker) bool { return !leased(t)(b) }, all[3], all[4])
	floor := whole * floorPart / 6
	before := all[3].answeredBudget(t).Shares[0]
	if before.Share != floor {
		t.Errorf("without a lease it may spend %.2f, the floor is %.2f", before.Share, floor)
	}
	time.Sleep(time.Until(cut.Add(cutFor)))
	after, took := all[3].budget(t), time.Since(cut)
	// What a bucket had saved up at the cut, at most four seconds of the part and the eight of chance, comes on top.
	if spent := after.Shares[0].WithinShare - before.WithinShare; spent == 0 || spent > floor*took.Seconds()+8+4*floor {
		t.Errorf("the minority admitted %.0f in %v at a floor of %.2f a second", spent, took, floor)
	}
	if after.Leased {
		t.Error("a lease without a majority")
	}
	s.relay.Heal()
	s.waitAll(2*detect, "a lease after the heal", leased(t), all...)
	// One joins under load and gets its part; then it and another crash at once, and the rest have the whole again.
	joined := s.begin("b5", "")
	began := time.Now()
	s.waitAll(detect, "a lease of the one that joined", leased(t), joined)
	took = time.Since(began)
	all[4].load(40, stop, wg)
	s.waitAll(detect, "a part for its load", func(b *broker) bool { return b.answeredBudget(t).Shares[0].Share > 20 }, all[4])
	joined.signal(syscall.SIGKILL)
	all[4].signal(syscall.SIGKILL)
	back := s.waitAll(detect, "the whole divided anew", func(*broker) bool {
		sum := 0.0
		for _, b := range all[:4] {
			sum += b.answeredBudget(t).Shares[0].Share - floor
		}
		return sum >= 0.95*whole*(1-floorPart)
	}, all[0])
	t.Logf("a lease %v after a join could serve; the whole divided anew %v after a crash of two", took, back)
	t.Logf("leases came to %.2f of %.0f at the most", s.check(), whole*(1-floorPart))
}

// The voter that leads is stalled for longer than a lease, then killed, and its links are slow: another leads, no part is
// given twice, and those whose leases ended have leases again.
func TestFleetBudgetsLeaderStalledThenKilledIsReplaced(t *testing.T) {
	t.Parallel()
	s := newShares(t, 5)
	all := s.beginAll(5)
	lead := func() *broker {
		var id string
		s.waitAll(detect, "a lead", func(b *broker) bool { id = b.budget(t).Leader; return s.find(id) != nil }, all[0])
		return s.find(id)
	}
	first := lead()
	rest := except(all, first)
	first.signal(syscall.SIGSTOP)
	time.Sleep(10 * time.Second)
	s.waitAll(detect, "a lease by another lead", leased(t), rest...)
	first.signal(syscall.SIGCONT)
	s.waitAll(detect, "a lease again", leased(t), all...)
	s.relay.Down(first.addr, rest[0].addr, false)
	s.relay.Slow(slowLinks)
	time.Sleep(3 * lease)
	s.relay.Heal()
	s.waitAll(detect, "a lease after slow links", leased(t), all...)
	var now string
	s.waitAll(detect, "a lead", func(b *broker) bool { now = b.budget(t).Leader; return now != "" }, all[0])
	if b := s.find(now); b != nil {
		b.signal(syscall.SIGKILL)
		b.cmd.Wait()
		rest = except(all, b)
		s.seed = rest[0].addr
		s.waitAll(2*detect, "a lease after the kill", leased(t), rest...)
		again := s.begin(b.id, "") // with the ledger it had on disk
		rest = append(rest, again)
	}
	s.waitAll(2*detect, "a lease of all", leased(t), rest...)
	t.Logf("leases came to %.2f of %.0f at the most", s.check(), whole*(1-floorPart))
}

// All members restart one by one, a further one joins, and clocks run fast and slow at the bound: the parts never pass
// the whole.
func TestFleetBudgetsRollingRestartNeverExceedsTheQuota(t *testing.T) {
	t.Parallel()
	s := newShares(t, 4)
	rates := []string{"clock_rate = 0.9", "clock_rate = 1.1", "clock_rate = 1.0", "clock_rate = 0.9"}
	for i, r := range rates {
		s.begin(fmt.Sprint("b", i), "drift = 10\n"+r)
	}
	all := slices.Clone(s.brokers)
	s.waitAll(2*detect, "a lease", leased(t), all...)
	for i := range all {
		all[i].signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[i%2])
		all[i].cmd.Wait()
		s.seed = all[(i+1)%len(all)].addr
		all[i] = s.begin(all[i].id, "drift = 10\n"+rates[i])
		s.waitAll(2*detect, "a lease after its restart", leased(t), all...)
	}
	t.Logf("leases came to %.2f of %.0f at the most", s.check(), whole*(1-floorPart))
	code, out, errOut := command("fleet", "budgets", "--control", all[0].control)
	if code != commandline.ExitOK || !regexp.MustCompile(`one +100\.0 +5\.00`).MatchString(out) || !strings.Contains(out, "the ledger of the voters") {
		t.Errorf("fleet budgets: %d %s%s", code, out, errOut)
	}
}

// slowLinks have replies take up to two seconds.
var slowLinks = faultnet.Delay{Fixed: 200 * time.Millisecond, Jitter: 400 * time.Millisecond, Tail: 0.1, TailBy: 1400 * time.Millisecond}
