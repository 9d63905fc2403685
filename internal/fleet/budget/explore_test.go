package budget

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// defaultSchedules is the number of schedules explored unless the flag sets another.
const defaultSchedules = 600

var schedules = flag.Int("schedules", defaultSchedules, "number of schedules to explore")

// plantedFault is a fault planted into the code under test, to check that the exploration finds it.
type plantedFault string

const (
	noFault             plantedFault = "none"
	noDriftMargin       plantedFault = "leases without a margin for clock drift"
	leaseFromGrant      plantedFault = "a lease starts at its grant instead of its request"
	reuseBeforeAck      plantedFault = "capacity freed by a smaller share is granted before the acknowledgment"
	leaderForgetsGrants plantedFault = "a new leader treats grants of earlier leaders as expired"
	driftBeyondBound    plantedFault = "a clock drifts beyond the bound"
)

// simulation is one schedule in virtual time. It has holders and three replicas of the ledger, each with its own clock.
// Messages are delayed, lost and repeated; the leader changes; holders stall, crash and are isolated; demand shifts.
type simulation struct {
	rng           *rand.Rand
	planted       plantedFault
	terms         Terms
	now           time.Duration
	queue         events
	eventCount    int
	pool          float64
	holders       []*simulatedHolder
	replicas      []*ledgerReplica
	log           []Command
	leader        int
	term          int
	grantor       *Grantor
	isReplicating bool
	inFlight      Command // the command being replicated, while isReplicating
	history       []string
	steps         int
	maxAllowance  float64 // the highest sum of allowances at any time
	leaderChanges int     // number of leader changes
}

type simulatedHolder struct {
	*Holder
	rate          float64
	start         time.Duration
	demand        float64
	stalledUntil  time.Duration
	isolatedUntil time.Duration
	incarnation   int
}

type ledgerReplica struct {
	ledger  *Ledger
	applied int
	rate    float64
}

type event struct {
	at    time.Duration
	order int
	name  string
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

func (w *simulation) schedule(delay time.Duration, name string, do func()) {
	w.eventCount++
	heap.Push(&w.queue, event{w.now + delay, w.eventCount, name, do})
}

func (w *simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

// messageDelay draws the delay of a message. Some delays are longer than a lease, and many are close to zero.
func (w *simulation) messageDelay() time.Duration {
	switch x := w.rng.Float64(); {
	case x < 0.1:
		return w.randomUpTo(2 * w.terms.LeaseDuration)
	case x < 0.5:
		return w.randomUpTo(w.terms.LeaseDuration / 300)
	}
	return w.randomUpTo(w.terms.LeaseDuration / 10)
}

func (w *simulation) clockRate() float64 {
	drift := w.terms.MaxDrift
	if w.planted == driftBeyondBound {
		drift *= 2.5
	}
	return 1 + drift*[...]float64{-1, 1, 0}[w.rng.IntN(3)]
}

func (n *simulatedHolder) clock(w *simulation) time.Duration {
	return n.start + time.Duration(n.rate*float64(w.now))
}

func (c *ledgerReplica) clock(w *simulation) time.Duration {
	return time.Duration(c.rate * float64(w.now))
}

// explore runs the schedule of a seed. It returns a description of the first violation of the invariant, or "".
func explore(seed uint64, planted plantedFault) (w *simulation, violation string) {
	w = &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), planted: planted, pool: 100,
		terms: Terms{LeaseDuration: 3 * time.Second, MaxDrift: 0.1},
	}
	for range 3 {
		w.replicas = append(w.replicas, &ledgerReplica{ledger: NewLedger([]float64{w.pool}), rate: w.clockRate()})
	}
	for i := range 2 + w.rng.IntN(3) {
		n := &simulatedHolder{rate: w.clockRate(), start: w.randomUpTo(time.Hour)}
		w.holders = append(w.holders, n)
		w.startHolder(n, i)
	}
	w.grantor = w.newGrantor()
	w.schedule(w.randomUpTo(10*time.Second), "leader", w.changeLeader)
	w.schedule(0, "propose", w.proposeCommand)
	for len(w.queue) > 0 && w.now < 25*time.Second {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.steps++
		e.do()
		sum := 0.0
		for _, n := range w.holders {
			rates, _ := n.Allowance(n.clock(w))
			sum += rates[0]
		}
		w.maxAllowance = max(w.maxAllowance, sum)
		if sum > w.pool*(1+roundingSlack)+roundingSlack {
			return w, fmt.Sprintf("at %v the holders may spend %.3f of a pool of %.0f", w.now, sum, w.pool)
		}
	}
	return w, ""
}

func (w *simulation) record(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%8.3fs ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *simulation) startHolder(n *simulatedHolder, i int) {
	n.incarnation++
	n.Holder = NewHolder(fmt.Sprintf("h%d.%d", i, n.incarnation), 1+float64(i), w.terms, []float64{0})
	n.demand = 120 * w.rng.Float64()
	incarnation := n.incarnation
	var requestLease func()
	requestLease = func() {
		switch {
		case n.incarnation != incarnation:
			return
		case w.now < n.stalledUntil:
			w.schedule(n.stalledUntil-w.now, "request lease", requestLease)
			return
		}
		r := n.NextRequest(n.clock(w), []float64{n.demand})
		for range 1 + w.rng.IntN(2) { // the request is sent once or twice
			if w.now >= n.isolatedUntil && w.rng.Float64() < 0.85 {
				w.schedule(w.messageDelay(), "request", func() { w.grantor.Receive(w.replicas[w.leader].clock(w), r) })
			}
		}
		w.schedule(w.terms.LeaseDuration/4, "request lease", requestLease)
	}
	w.schedule(w.randomUpTo(time.Second), "request lease", requestLease)
	var injectFault func()
	injectFault = func() {
		if n.incarnation != incarnation {
			return
		}
		switch w.rng.IntN(4) {
		case 0:
			n.stalledUntil = w.now + w.randomUpTo(3*w.terms.LeaseDuration)
			w.record("%s stalls until %v", n.id, n.stalledUntil)
		case 1:
			n.isolatedUntil = w.now + w.randomUpTo(3*w.terms.LeaseDuration)
			w.record("%s is isolated until %v", n.id, n.isolatedUntil)
		case 2:
			n.demand = 120 * w.rng.Float64()
		case 3:
			w.record("%s crashes and restarts", n.id)
			w.startHolder(n, i)
			return
		}
		w.schedule(w.randomUpTo(8*time.Second), "fault", injectFault)
	}
	w.schedule(w.randomUpTo(8*time.Second), "fault", injectFault)
}

// apply applies the committed commands that a replica has not applied yet. It returns the grants of the last one.
func (w *simulation) apply(c *ledgerReplica) (added []Grant) {
	for ; c.applied < len(w.log); c.applied++ {
		added, _ = c.ledger.Apply(w.log[c.applied])
	}
	return added
}

func (w *simulation) newGrantor() *Grantor {
	c := w.replicas[w.leader]
	w.apply(c)
	terms := w.terms
	if w.planted == noDriftMargin {
		terms.MaxDrift = 0
	}
	g := NewGrantor(terms, c.ledger, c.clock(w))
	if w.planted == leaderForgetsGrants {
		g.grantedAt = map[uint64]time.Duration{}
	}
	return g
}

// changeLeader makes a random replica the leader. A command that the old leader was replicating is either lost or
// committed before the new leader starts.
func (w *simulation) changeLeader() {
	w.term++
	w.leaderChanges++
	w.leader = w.rng.IntN(len(w.replicas))
	if w.isReplicating && w.rng.IntN(2) == 0 { // it was committed, although the old leader may not know
		w.log = append(w.log, w.inFlight)
		for _, x := range w.inFlight.Grants {
			w.schedule(w.messageDelay(), "grant", func() { w.deliverGrant(x) })
		}
	}
	w.isReplicating = false
	w.grantor = w.newGrantor()
	w.record("replica %d leads", w.leader)
	w.schedule(w.randomUpTo(10*time.Second), "leader", w.changeLeader)
}

// proposeCommand makes the leader decide on a command. The command is committed after a delay if the leader has not
// changed by then.
func (w *simulation) proposeCommand() {
	w.schedule(w.terms.LeaseDuration/30, "propose", w.proposeCommand)
	c := w.replicas[w.leader]
	if w.isReplicating {
		return
	}
	if w.planted == reuseBeforeAck { // only each holder's newest grant stays charged
		for h, grants := range c.ledger.Grants {
			c.ledger.Grants[h] = grants[len(grants)-1:]
		}
	}
	cmd, ok := w.grantor.NextCommand(c.clock(w))
	if !ok {
		return
	}
	w.isReplicating, w.inFlight = true, cmd
	term, g := w.term, w.grantor
	w.schedule(w.messageDelay(), "commit", func() {
		if w.term != term {
			return
		}
		w.isReplicating = false
		w.log = append(w.log, cmd)
		added := w.apply(c)
		g.Applied(c.clock(w), added)
		for h, v := range cmd.Expire {
			w.record("%s: grants up to %d expired", h, v)
		}
		for _, x := range added {
			w.record("grant %d: %.1f to %s", x.Version, x.Shares[0], x.Holder)
			for range 1 + w.rng.IntN(2) {
				if w.rng.Float64() < 0.85 {
					w.schedule(w.messageDelay(), "grant", func() { w.deliverGrant(x) })
				}
			}
		}
	})
}

func (w *simulation) deliverGrant(x Grant) {
	for _, n := range w.holders {
		if n.id != x.Holder || w.now < n.isolatedUntil {
			continue
		}
		if w.now < n.stalledUntil {
			w.schedule(n.stalledUntil-w.now, "grant", func() { w.deliverGrant(x) })
			return
		}
		if w.planted == leaseFromGrant {
			n.requestedAt[x.Seq] = n.clock(w)
		}
		if n.Accept(n.clock(w), x) {
			w.record("%s spends %.1f by grant %d", n.id, x.Shares[0], x.Version)
		}
	}
}

// The shares never exceed the quota in any explored schedule. With each planted fault they do in some schedule, and the
// test logs the shortest one, which shows that the exploration can detect the fault.
func TestSharesNeverExceedQuotaUnlessFaultIsPlanted(t *testing.T) {
	used, leaderChanges := 0.0, 0
	for seed := range uint64(*schedules) {
		w, violation := explore(seed, noFault)
		if violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, violation, strings.Join(w.history, "\n"))
		}
		used += w.maxAllowance
		leaderChanges += w.leaderChanges
	}
	t.Logf("%d schedules with %d leader changes: the highest use of the pool was %.0f%% on average, and never above 100%%",
		*schedules, leaderChanges, used/float64(*schedules))
	if used/float64(*schedules) < 80 {
		t.Error("the highest use of the pool was below 80% on average: the schedules hardly test its limit")
	}
	for _, planted := range []plantedFault{noDriftMargin, leaseFromGrant, reuseBeforeAck, leaderForgetsGrants, driftBeyondBound} {
		var shortest *simulation
		shortestViolation, found := "", 0
		for seed := range uint64(min(*schedules, defaultSchedules)) {
			if w, violation := explore(seed, planted); violation != "" {
				if found++; shortest == nil || w.steps < shortest.steps {
					shortest, shortestViolation = w, violation
				}
			}
			if found >= 2 && *schedules <= defaultSchedules {
				break // the default run only shows that the fault is found; a longer run counts and looks for the shortest
			}
		}
		if shortest == nil {
			t.Errorf("planted fault %q: no schedule exceeds the quota", planted)
			continue
		}
		last := shortest.history[max(0, len(shortest.history)-12):]
		t.Logf("%s: found in %d schedules, the shortest with %d events: %s\n%s",
			planted, found, shortest.steps, shortestViolation, strings.Join(last, "\n"))
	}
}

// The shares add up to the pool. No holder has less than the smaller of its demand and its fair share. Shares do not
// change if the demand hardly changes.
func TestDivideIsMaxMinFairAndKeepsSimilarShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := rapid.Float64Range(0, 1000).Draw(t, "pool")
		n := rapid.IntRange(1, 12).Draw(t, "n")
		claims, weight := make([]Claim, n), 0.0
		for i := range claims {
			claims[i] = Claim{Weight: float64(rapid.IntRange(1, 9).Draw(t, "weight")), Demand: rapid.Float64Range(0, 500).Draw(t, "demand")}
			weight += claims[i].Weight
		}
		shares, sum := Divide(pool, claims), 0.0
		for i, share := range shares {
			sum += share
			if fair := pool * claims[i].Weight / weight; share < min(fair, claims[i].Demand)-1e-6 {
				t.Fatalf("shares %v of claims %v: share %d is less than both its demand and its fair share %v", shares, claims, i, fair)
			}
			claims[i].Held = share
		}
		if sum > pool+1e-6 || sum < pool-1e-6 {
			t.Fatalf("shares %v add up to %v, want the pool %v", shares, sum, pool)
		}
		for i := range claims {
			claims[i].Demand *= rapid.Float64Range(0.99, 1.01).Draw(t, "noise")
		}
		again, sum := Divide(pool, claims), 0.0
		for _, share := range again {
			sum += share
		}
		if sum > pool+1e-6 {
			t.Fatalf("shares %v add up to %v, want at most the pool %v", again, sum, pool)
		}
	})
	first := Divide(100, []Claim{{Weight: 1, Demand: 70}, {Weight: 1, Demand: 20}})
	held := []Claim{{Weight: 1, Demand: 71, Held: first[0]}, {Weight: 1, Demand: 19.5, Held: first[1]}}
	if again := Divide(100, held); again[0] != first[0] || again[1] != first[1] {
		t.Errorf("shares %v, then %v for nearly the same demand, want no change", first, again)
	}
}
