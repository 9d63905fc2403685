package coordinationload

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestOpenLoopKeepsItsRateWhenACallIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		var due, started []time.Duration
		schedule{perSecond: 10, duration: 450 * time.Millisecond}.play(t.Context(), began, func(number int, at time.Time) {
			due, started = append(due, at.Sub(began)), append(started, time.Since(began))
			if number == 1 {
				pause(t.Context(), 250*time.Millisecond) // simulates a delay of the loop
			}
		})
		ms := func(all ...int) (durations []time.Duration) {
			for _, n := range all {
				durations = append(durations, time.Duration(n)*time.Millisecond)
			}
			return durations
		}
		g.Expect(due).To(Equal(ms(0, 100, 200, 300, 400)))
		g.Expect(started).To(Equal(ms(0, 100, 350, 350, 400)), "overdue operations start at once")
	})
}

func TestScheduleDoesNotDrift(t *testing.T) {
	g := NewWithT(t)
	s := schedule{perSecond: 3, duration: time.Hour}
	g.Expect(s.due(3 * 3600)).To(BeNumerically("~", time.Hour, time.Microsecond))
}

func TestOpenLoopEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		count := 0
		schedule{perSecond: 10, duration: time.Hour}.play(ctx, time.Now(), func(int, time.Time) { count++ })
		NewWithT(t).Expect(count).To(Equal(3))
	})
}

func TestParseMixRejectsInvalidText(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ParseMix("puts=3,reads=0.5")).To(Equal(Mix{{Puts, 3}, {Reads, 0.5}}))
	for _, wrong := range []string{"", "puts", "puts=x", "puts=-1", "puts=NaN", "puts=0", "watches=1", "puts=1,puts=1", "puts=1,"} {
		_, err := ParseMix(wrong)
		g.Expect(err).To(HaveOccurred(), wrong)
	}
}

func TestMixIsDrawnByWeight(t *testing.T) {
	g := NewWithT(t)
	random, counts := rand.New(rand.NewPCG(1, 1)), map[Kind]int{}
	mix := Mix{{Puts, 3}, {Reads, 0}, {Locks, 1}}
	for range 4000 {
		counts[mix.draw(random)]++
	}
	g.Expect(counts[Puts]).To(BeNumerically("~", 3000, 150))
	g.Expect(counts[Puts] + counts[Locks]).To(Equal(4000))
}

func TestTableHasTimesOfSuccessesAndFailuresByStatus(t *testing.T) {
	g := NewWithT(t)
	r := &Report{
		Elapsed: 10 * time.Second, SyncBefore: 1500 * time.Microsecond, SyncAfter: 2 * time.Millisecond,
		Before: View{Number: 1, Chain: 3}, After: View{Number: 3, Chain: 2}, Unsent: 7, LoadBefore: "1.00", LoadAfter: "2.00", tally: newTally(),
	}
	for i := range 100 {
		r.tally.add(putKey, http.StatusOK, time.Duration(i+1)*time.Millisecond)
	}
	r.tally.add(putKey, http.StatusServiceUnavailable, time.Hour)
	r.tally.add(putKey, noAnswer, time.Hour)
	r.tally.add(putKey, http.StatusNotFound, time.Hour)
	r.tally.add(readKey, http.StatusNotFound, time.Millisecond)
	r.tally.add(nextNumber, http.StatusGatewayTimeout, time.Millisecond)
	var out bytes.Buffer
	r.Print(&out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(9))
	g.Expect(strings.Fields(lines[1])).To(Equal(strings.Fields("put 10.0 50.02 90.05 99.01 100.03 no answer: 1, 404: 1, 503: 1")))
	g.Expect(strings.Fields(lines[2])).To(Equal(strings.Fields("read 0.1 1.00 1.00 1.00 1.00 -")))
	g.Expect(strings.Fields(lines[3])).To(Equal(strings.Fields("number 0.0 0.00 0.00 0.00 0.00 504: 1")))
	g.Expect(lines[4]).To(HavePrefix("7 operations were not sent"))
	g.Expect(lines[5]).To(Equal("sync of a small record: 1.50 ms on average before the run, 2.00 ms after"))
	g.Expect(lines[6]).To(HavePrefix("a write takes 3 in a row"))
	g.Expect(lines[6]).To(HaveSuffix(": 4.50 ms, or 6.00 ms by the syncs after the run"))
	g.Expect(lines[7]).To(Equal("the view changed in the run: 1 to 3, with 2 in the chain after it"))
	g.Expect(lines[8]).To(Equal("load average of the machine: 1.00 before, 2.00 after"))
}

// service is a fake coordination service that records paths and bodies and answers with a fixed status.
type service struct {
	mu     sync.Mutex
	paths  []string
	bodies []string
	status int
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths, s.bodies = append(s.paths, r.URL.Path), append(s.bodies, string(body))
	w.WriteHeader(s.status)
	io.WriteString(w, `{"fencing_token":5}`)
}

// newTestCaller returns a caller of fake services that sends one kind of operation.
func newTestCaller(t *testing.T, kind Kind, services ...*service) *caller {
	t.Helper()
	var addresses []string
	for _, s := range services {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	load := &Load{Groups: 1, Mix: Mix{{kind, 1}}}
	return load.newCallers(1, addresses, newClient(), newTally())[0]
}

func TestCallerReleasesItsLockWithItsToken(t *testing.T) {
	g, s := NewWithT(t), &service{status: http.StatusOK}
	newTestCaller(t, Locks, s).operate(t.Context(), time.Now())
	g.Expect(s.paths).To(Equal([]string{"/locks/group-0.caller-0/begin", "/locks/group-0.caller-0/finish"}))
	g.Expect(s.bodies[1]).To(MatchJSON(`{"lease_holder":"caller-0","fencing_token":5}`))
}

func TestCallerSwitchesAddressAfterAFailure(t *testing.T) {
	g, first, second := NewWithT(t), &service{status: http.StatusServiceUnavailable}, &service{status: http.StatusOK}
	c := newTestCaller(t, Puts, first, second)
	for range 3 {
		c.operate(t.Context(), time.Now())
	}
	g.Expect(first.paths).To(HaveLen(1))
	g.Expect(second.paths).To(HaveLen(2))
	g.Expect(second.bodies[0]).NotTo(Equal(second.bodies[1]), "each put has a unique value")
	g.Expect(c.tally.byOperation[putKey].failures).To(Equal(map[int]int{http.StatusServiceUnavailable: 1}))
}

func TestPauseGrowsWithFailuresUpToABound(t *testing.T) {
	g := NewWithT(t)
	c := newTestCaller(t, Numbers, &service{status: http.StatusOK})
	for failures, longest := range map[int]time.Duration{1: firstPause, 2: 2 * firstPause, 100: maxPause} {
		c.failures = failures
		g.Expect(c.pauseAfterFailures()).To(And(BeNumerically(">=", longest/2), BeNumerically("<", longest)))
	}
	c.operate(t.Context(), time.Now())
	g.Expect(c.pauseAfterFailures()).To(BeZero(), "after a success")
}

func TestLatencyCountsFromTheDueTime(t *testing.T) {
	g, s := NewWithT(t), &service{status: http.StatusOK}
	c := newTestCaller(t, Numbers, s)
	c.operate(t.Context(), time.Now().Add(-time.Second))
	g.Expect(c.tally.byOperation[nextNumber].times.Min()).To(BeNumerically(">=", 999_000), "microseconds")
}

func TestValidateRejectsValuesOutOfRange(t *testing.T) {
	g := NewWithT(t)
	good := Load{Cores: 9, Groups: 1, Callers: 1, Duration: time.Second}
	g.Expect(good.Validate()).To(Succeed())
	for name, spoil := range map[string]func(*Load){
		"cores": func(l *Load) { l.Cores = 4 }, "groups": func(l *Load) { l.Groups = 0 }, "callers": func(l *Load) { l.Callers = maxCallers + 1 },
		"rate": func(l *Load) { l.PerSecond = -1 }, "for": func(l *Load) { l.Duration = 0 },
	} {
		wrong := good
		spoil(&wrong)
		g.Expect(wrong.Validate()).NotTo(Succeed(), name)
	}
}

func TestSyncTimeIsMeasured(t *testing.T) {
	g := NewWithT(t)
	took, err := meanSyncTime(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(took).To(BeNumerically(">", 0))
}
