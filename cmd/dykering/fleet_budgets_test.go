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

const (
	// tenantQuota is the quota of the only tenant in these tests, in requests a second.
	tenantQuota   = 100.0
	leaseDuration = 2 * time.Second
	// floorShare is the share of the quota that is divided evenly as floors, which members may use without a lease.
	floorShare = 0.2
)

// budgetFleet is a fleet whose members share a quota. The members b0, b1 and b2 are the voters.
type budgetFleet struct {
	*testFleet
	everStarted  []*broker // all brokers ever started, including stopped ones, whose log lines count too
	directory    string
	floorMembers int // number of members that floors are reserved for
}

func newBudgetFleet(t *testing.T, members int) *budgetFleet {
	t.Helper()
	return &budgetFleet{testFleet: newTestFleet(t), directory: t.TempDir(), floorMembers: members}
}

// startMember starts a member with further keys of [fleet.budgets].
func (s *budgetFleet) startMember(id, more string) *broker {
	s.t.Helper()
	s.extraSettings = fmt.Sprintf("[fleet.budgets]\nenabled = true\nvoters = [\"b0\", \"b1\", \"b2\"]\ndir = %q\nfloor = %d\nlease = %q\n%s",
		s.directory+"/"+id, int(100*floorShare), leaseDuration, more)
	s.platformChanges = map[string]string{`"instances":1`: fmt.Sprintf(`"instances":%d,"tenants":[{"name":"one","quotaPerS":%v}]`, s.floorMembers, tenantQuota)}
	b := s.join(id)
	s.everStarted = append(s.everStarted, b)
	return b
}

func (s *budgetFleet) startMembers(n int) []*broker {
	s.t.Helper()
	for i := range n {
		s.startMember(fmt.Sprint("b", i), "")
	}
	s.waitAll(detectionTimeout, "one view", seesAlive(s.brokers), s.brokers...)
	s.waitAll(detectionTimeout, "a lease", leased(s.t), s.brokers...)
	return slices.Clone(s.brokers)
}

func (b *broker) budget(t *testing.T) (st budgets.State) {
	t.Helper()
	client := http.Client{Timeout: 2 * time.Second}
	res, err := client.Get("http://" + b.controlAddress + "/-/fleet/budgets")
	if err != nil {
		return st // the process is stalled
	}
	defer res.Body.Close()
	json.NewDecoder(res.Body).Decode(&st)
	return st
}

// answeredBudget repeats the request until a process returns its quota shares, since a request may time out under high CPU
// load.
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

// leaseSpan is the time for which a broker may use a leased part of the quota.
type leaseSpan struct {
	from, until int64
	part        float64
	holder      string
	version     uint64
}

// maxLeasedSum returns the largest sum of leased parts at any time, according to the brokers' logs. The test fails if it exceeds
// the quota less the floors. A lease counts until the broker logs the next lease or the fall back to its floor, or until the
// lease expires.
func (s *budgetFleet) maxLeasedSum() (maxSum float64) {
	s.t.Helper()
	var spans []leaseSpan
	for _, b := range s.everStarted {
		b.mu.Lock()
		var brokerSpans []leaseSpan
		for _, line := range b.budgetLines {
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
			if n := len(brokerSpans); n > 0 {
				brokerSpans[n-1].until = min(brokerSpans[n-1].until, l.From)
			}
			if l.Event == "fleet.budget.lease" { // without the floor, which each member always has
				brokerSpans = append(brokerSpans, leaseSpan{l.From, l.Until, l.Parts[0] - floorShare*tenantQuota/float64(s.floorMembers), b.id, l.Version})
			}
		}
		b.mu.Unlock()
		spans = append(spans, brokerSpans...)
	}
	slices.SortFunc(spans, func(a, b leaseSpan) int { return cmp.Compare(a.from, b.from) })
	var maxSpans []leaseSpan
	for _, at := range spans { // the sum increases only at the start of a lease
		sum, activeSpans := 0.0, []leaseSpan(nil)
		for _, x := range spans {
			if x.from <= at.from && at.from < x.until {
				sum += x.part
				activeSpans = append(activeSpans, x)
			}
		}
		if sum > maxSum {
			maxSum, maxSpans = sum, activeSpans
		}
	}
	if maxSum > tenantQuota*(1-floorShare)+0.01 {
		s.t.Errorf("concurrent leases of %.2f, limit %.0f: %+v", maxSum, tenantQuota*(1-floorShare), maxSpans)
	}
	if len(spans) < 2*len(s.everStarted) {
		s.t.Errorf("only %d leases in the logs of %d processes: too few for a check", len(spans), len(s.everStarted))
	}
	return maxSum
}

// generateLoad sends requests to a broker at a rate per second until stop is closed.
func (b *broker) generateLoad(perS float64, stop chan struct{}, wg *sync.WaitGroup) {
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perS))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-tick.C:
			case <-stop:
				return
			}
			b.sendRequest(fmt.Sprint(b.id, "-load-", time.Now().UnixNano()))
		}
	})
}

// partitionDuration is how long the minority is partitioned.
const partitionDuration = 60 * time.Second

// A partition into a majority and a minority under uneven load. The minority falls back to its floor when its leases have
// expired. The parts of the majority grow only after that, so the sum of all leases never exceeds the quota, and each member
// admits no more than its part allows. After the partition heals, all members have leases again.
func TestFleetBudgetsPartitionedMinorityFallsToItsFloor(t *testing.T) {
	t.Parallel()
	s := newBudgetFleet(t, 6) // a sixth member joins later
	all := s.startMembers(5)
	stop, wg := make(chan struct{}), &sync.WaitGroup{}
	defer wg.Wait()
	defer close(stop)
	all[0].generateLoad(60, stop, wg) // ten times the load of another member
	all[3].generateLoad(6, stop, wg)
	s.waitAll(20*time.Second, "the quota follows the demand", func(b *broker) bool {
		p := b.answeredBudget(t).Shares[0]
		return p.Demand > 20 && p.Share > 2*tenantQuota/5
	}, all[0])
	s.relay.Cut([]string{all[0].gossipAddress, all[1].gossipAddress, all[2].gossipAddress}, []string{all[3].gossipAddress, all[4].gossipAddress})
	cut := time.Now()
	s.waitAll(2*leaseDuration, "falls back to its floor", func(b *broker) bool { return !leased(t)(b) }, all[3], all[4])
	floor := tenantQuota * floorShare / 6
	before := all[3].answeredBudget(t).Shares[0]
	if before.Share != floor {
		t.Errorf("the share without a lease is %.2f, the floor is %.2f", before.Share, floor)
	}
	time.Sleep(time.Until(cut.Add(partitionDuration)))
	after, took := all[3].budget(t), time.Since(cut)
	// The token bucket adds what it had accumulated at the partition: at most four seconds of the floor, and a margin of eight
	// requests for chance.
	if spent := after.Shares[0].WithinShare - before.WithinShare; spent == 0 || spent > floor*took.Seconds()+8+4*floor {
		t.Errorf("the minority admitted %.0f in %v at a floor of %.2f a second", spent, took, floor)
	}
	if after.Leased {
		t.Error("a member of the minority has a lease")
	}
	s.relay.Heal()
	s.waitAll(2*detectionTimeout, "a lease after the heal", leased(t), all...)
	// A member joins under load and gets its part. Then it and another member crash at once, and the others get the whole quota
	// again.
	joined := s.startMember("b5", "")
	began := time.Now()
	s.waitAll(detectionTimeout, "a lease of the member that joined", leased(t), joined)
	took = time.Since(began)
	all[4].generateLoad(40, stop, wg)
	s.waitAll(detectionTimeout, "a part for its load", func(b *broker) bool { return b.answeredBudget(t).Shares[0].Share > 20 }, all[4])
	joined.signal(syscall.SIGKILL)
	all[4].signal(syscall.SIGKILL)
	back := s.waitAll(detectionTimeout, "the quota is divided again", func(*broker) bool {
		sum := 0.0
		for _, b := range all[:4] {
			sum += b.answeredBudget(t).Shares[0].Share - floor
		}
		return sum >= 0.95*tenantQuota*(1-floorShare)
	}, all[0])
	t.Logf("a lease %v after a joined member could serve; the quota divided again %v after a crash of two members", took, back)
	t.Logf("leases came to %.2f of %.0f at the most", s.maxLeasedSum(), tenantQuota*(1-floorShare))
}

// The leader of the voters is stalled for longer than a lease; then links are slow, and the leader is killed. Another voter
// takes over, no part is leased twice, and members whose leases expired get leases again.
func TestFleetBudgetsLeaderStalledThenKilledIsReplaced(t *testing.T) {
	t.Parallel()
	s := newBudgetFleet(t, 5)
	all := s.startMembers(5)
	currentLeader := func() *broker {
		var id string
		s.waitAll(detectionTimeout, "a leader", func(b *broker) bool { id = b.budget(t).Leader; return s.find(id) != nil }, all[0])
		return s.find(id)
	}
	firstLeader := currentLeader()
	rest := without(all, firstLeader)
	firstLeader.signal(syscall.SIGSTOP)
	time.Sleep(10 * time.Second)
	s.waitAll(detectionTimeout, "a lease by another leader", leased(t), rest...)
	firstLeader.signal(syscall.SIGCONT)
	s.waitAll(detectionTimeout, "a lease again", leased(t), all...)
	s.relay.Down(firstLeader.gossipAddress, rest[0].gossipAddress, false)
	s.relay.Slow(slowLinks)
	time.Sleep(3 * leaseDuration)
	s.relay.Heal()
	s.waitAll(detectionTimeout, "a lease after slow links", leased(t), all...)
	var newLeader string
	s.waitAll(detectionTimeout, "a leader", func(b *broker) bool { newLeader = b.budget(t).Leader; return newLeader != "" }, all[0])
	if b := s.find(newLeader); b != nil {
		b.signal(syscall.SIGKILL)
		b.cmd.Wait()
		rest = without(all, b)
		s.seed = rest[0].gossipAddress
		s.waitAll(2*detectionTimeout, "a lease after the kill", leased(t), rest...)
		restarted := s.startMember(b.id, "") // with the ledger that it has on disk
		rest = append(rest, restarted)
	}
	s.waitAll(2*detectionTimeout, "a lease of each member", leased(t), rest...)
	t.Logf("leases came to %.2f of %.0f at the most", s.maxLeasedSum(), tenantQuota*(1-floorShare))
}

// All members restart one by one, and their clocks run fast or slow up to the configured drift. The sum of the leases never
// exceeds the quota.
func TestFleetBudgetsRollingRestartNeverExceedsTheQuota(t *testing.T) {
	t.Parallel()
	s := newBudgetFleet(t, 4)
	rates := []string{"clock_rate = 0.9", "clock_rate = 1.1", "clock_rate = 1.0", "clock_rate = 0.9"}
	for i, r := range rates {
		s.startMember(fmt.Sprint("b", i), "drift = 10\n"+r)
	}
	all := slices.Clone(s.brokers)
	s.waitAll(2*detectionTimeout, "a lease", leased(t), all...)
	for i := range all {
		all[i].signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[i%2])
		all[i].cmd.Wait()
		s.seed = all[(i+1)%len(all)].gossipAddress
		all[i] = s.startMember(all[i].id, "drift = 10\n"+rates[i])
		s.waitAll(2*detectionTimeout, "a lease after its restart", leased(t), all...)
	}
	t.Logf("leases came to %.2f of %.0f at the most", s.maxLeasedSum(), tenantQuota*(1-floorShare))
	code, out, errOut := runCommand("fleet", "budgets", "--control", all[0].controlAddress)
	if code != commandline.ExitOK || !regexp.MustCompile(`one +100\.0 +5\.00`).MatchString(out) || !strings.Contains(out, "the ledger of the voters") {
		t.Errorf("fleet budgets: %d %s%s", code, out, errOut)
	}
}

// slowLinks is a delay of up to two seconds.
var slowLinks = faultnet.Delay{Fixed: 200 * time.Millisecond, Jitter: 400 * time.Millisecond, Tail: 0.1, TailBy: 1400 * time.Millisecond}
