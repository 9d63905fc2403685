package real

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
	"dykering/internal/lab/model"
	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

const (
	// slack is by how much time limits are longer than in virtual time: what happens between two processes is seen
	// late, and one machine plays all of them.
	slack = 100 * time.Millisecond
	// mostInstances is how many processes one machine plays.
	mostInstances = 64
	// A process is told that it has these, and half of them for itself, as its socket is held for a successor.
	memoryMB, sockets = 256, 8192
)

// Options say how a scenario is played.
type Options struct {
	Command []string // of the broker
	Dir     string   // for logs and configurations; it stays
}

// stage plays a scenario on real sockets. What is not said otherwise belongs to the clock's goroutine.
type stage struct {
	*wall
	w         *model.World
	ground    Ground
	instances []*instance
	servers   map[int]*server
	tries     map[decision.RequestID]*try
	late      time.Duration
	failed    chan error // the first ends the run
	ctx       context.Context
	work      sync.WaitGroup // all goroutines but the clock's
	fleet     *fleet         // nil without one
	moved     []*Discovery   // that brokers were told to leave
	manners   *rand.Rand     // what callers do
}

// instance is an instance of the broker: a socket that is held for it, its discovery, and its process.
type instance struct {
	in       *model.Instance
	seat     Seat
	url      string
	places   *Discovery
	file     string // the platform's
	operator string // empty for none
	client   *http.Client
	name     string
	zone     int
	process  Broker // nil while there is none
	leaving  Broker // that was told to end, with no successor beside it
	all      []Broker
}

// Play plays a scenario with a seed on real sockets. It ends by itself within the scenario's time and some seconds for
// the start and the end of processes, and leaves none behind.
func Play(ctx context.Context, s *scenario.Scenario, seed uint64, o Options) (_ *model.Result, err error) {
	if err := playable(s); err != nil {
		return nil, err
	}
	r, err := PlayOn(ctx, kernel{o}, s, seed, slack)
	if err == nil {
		r.Engine = "real"
	}
	return r, err
}

// PlayOn plays a scenario on a ground. Late is how late what happens may be seen there.
func PlayOn(ctx context.Context, g Ground, s *scenario.Scenario, seed uint64, late time.Duration) (_ *model.Result, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	st := &stage{
		wall: newWall(), ground: g, late: late, servers: map[int]*server{}, tries: map[decision.RequestID]*try{},
		failed: make(chan error, 1), ctx: ctx,
	}
	defer func() {
		stop()
		st.tearDown()
	}()
	st.manners = model.Stream(seed, "manners", 0)
	st.w = model.New(s, seed, st, st, st, late)
	if s.Broker.Fleet {
		if st.fleet, err = newFleet(st, seed); err != nil {
			return nil, err
		}
	}
	for _, sv := range st.w.Servers {
		if err := st.listen(sv); err != nil {
			return nil, err
		}
	}
	for i := range st.w.Instances {
		// The lowest tier first: a server is used once its own instance can serve.
		if err := st.begin(st.w.Instances[len(st.w.Instances)-1-i]); err != nil {
			return nil, err
		}
	}
	for _, in := range st.instances {
		if err := in.process.Ready(ctx); err != nil {
			return nil, err
		}
	}
	st.began = time.Now()
	end := st.w.Start()
	if st.fleet != nil {
		st.work.Go(func() { st.fleet.play(ctx, s.Faults) })
	}
	if err := st.run(ctx, end, st.w.Over, st.failed); err != nil {
		return nil, err
	}
	r := st.w.End()
	if st.fleet != nil {
		if r.Views, err = st.fleet.views(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// playable names what only virtual time can play.
func playable(s *scenario.Scenario) error {
	n := s.Broker.Instances
	for _, b := range s.Below {
		n += b.Instances
	}
	if n > mostInstances {
		return fmt.Errorf("%d instances are more than the %d that one machine plays on real sockets", n, mostInstances)
	}
	for i, t := range s.Troubles {
		if t.What == "partition" {
			return fmt.Errorf("trouble[%d]: a partition between some and others is played in virtual time only; vanish and zone are played here", i)
		}
	}
	return nil
}

// fail ends the run.
func (st *stage) fail(err error) {
	select {
	case st.failed <- err:
	default: // it ends already
	}
}

// begin makes an instance and starts its process.
func (st *stage) begin(in *model.Instance) error {
	name, zone := fmt.Sprintf("broker-%d-%d", in.Tier.N, in.Ordinal), 0
	if len(in.Tier.Servers) > 0 {
		zone = in.Ordinal % max(st.w.S.Servers.Zones, 1)
	}
	place, err := st.ground.Seat(name, zone)
	if err != nil {
		return err
	}
	i := &instance{in: in, name: name, zone: zone, seat: place, url: "http://" + place.Address(), client: &http.Client{Transport: &http.Transport{
		DialContext: st.ground.Dial, MaxIdleConnsPerHost: 1024, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
	st.instances = append(st.instances, i)
	l, err := st.ground.Listen(discoveryName(name), zone, "")
	if err != nil {
		return err
	}
	i.places = discoveryAt(l, nil)
	for _, e := range st.w.List(in).Entries {
		i.places.TellTarget(st.target(e))
	}
	i.file = filepath.Join(place.Dir(), "config.json")
	if err := st.configure(i); err != nil {
		return err
	}
	if st.fleet != nil && in.Tier.N == 0 {
		if err := st.fleet.enlist(i, name, place.Dir()); err != nil {
			return err
		}
	}
	i.process, err = st.start(i)
	return err
}

// configure writes an instance's file, as the platform does.
func (st *stage) configure(i *instance) error {
	text, err := json.MarshalIndent(map[string]any{
		"name": i.name, "listen": i.seat.Address(), "discovery": i.places.Address,
		"seed": fmt.Sprintf("%x", st.w.Seed(i.in)), "limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"settings": told(st.w, i.in),
	}, "", " ")
	if err != nil {
		return err
	}
	next := i.file + ".new" // a process may be reading it
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, i.file)
}

// start starts a process of an instance, and watches it.
func (st *stage) start(i *instance) (Broker, error) {
	p, err := i.seat.Start(i.file, i.operator)
	if err != nil {
		return nil, err
	}
	i.all = append(i.all, p)
	st.work.Go(func() {
		dies, excused := dies(p)
		defer excused()
		select {
		case <-dies:
			heard := make(chan struct{})
			st.post(func() {
				defer close(heard)
				st.excuse(i.in) // as Kill does
				if i.process == p {
					i.process = nil
					st.After(killedFor, func() { st.succeed(i, nil) })
				}
			})
			select {
			case <-heard:
			case <-st.done:
			}
			return
		case <-p.Ended():
		case <-st.ctx.Done():
			return
		}
		st.post(func() {
			if i.process == p && i.leaving != p {
				st.fail(p.Fault("ended by itself"))
			}
		})
	})
	return p, nil
}

// tearDown ends all that was started: processes first, all beside each other.
func (st *stage) tearDown() {
	var all sync.WaitGroup
	for _, i := range st.instances {
		i.client.CloseIdleConnections()
		for _, p := range i.all {
			all.Go(p.End)
		}
	}
	all.Wait()
	for _, s := range st.servers {
		s.close()
	}
	if st.fleet != nil {
		st.fleet.relay.Close()
	}
	for _, d := range st.moved {
		d.Close()
	}
	for _, i := range st.instances {
		if i.places != nil {
			i.places.Close()
		}
		i.seat.Close()
	}
	select {
	case <-st.done:
	default:
		close(st.done) // it never ran
	}
	st.work.Wait()
}

// told are the settings that the platform would give an instance.
func told(w *model.World, in *model.Instance) map[string]any {
	set := w.Settings(in)
	micros := func(d time.Duration) int64 { return d.Microseconds() }
	effects := map[decision.Effect]string{decision.Safe: "read_like", decision.Keyed: "idempotency_key", decision.Unsafe: "non_idempotent"}
	var classes, tenants []map[string]any
	for _, c := range set.Classes {
		class := map[string]any{
			"name": c.Name, "aim": micros(c.LatencyTarget), "deadline": micros(c.Deadline), "gain": c.Value,
			"effect": effects[c.Effect], "window": micros(c.Window),
		}
		if c.Effect == decision.Keyed {
			class["keyScope"] = c.Scope
		}
		classes = append(classes, class)
	}
	for _, t := range set.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "quotaPerS": t.QuotaPerS})
	}
	var tiers, zones, models []string
	for i := range w.Tiers {
		tiers = append(tiers, fmt.Sprint("tier", i))
	}
	for i := range w.S.Servers.Zones {
		zones = append(zones, zoneName(i))
	}
	for _, k := range w.S.Kinds {
		models = append(models, k.Name)
	}
	return map[string]any{
		"allowed": map[string]any{
			"cancel": set.MayCancel, "connIdle": micros(serverIdle), "connectTimeout": micros(set.ConnectTimeout),
			"maxRetryAfter": micros(set.MaxRetryAfter), "retryAfter": set.MaxRetryAfter > 0, "sendCap": set.MaxAttempts,
		},
		"clientHabits": map[string]any{"marksRetry": set.ClientsMarkRetries}, "discovery": "push", "models": models, "zones": zones,
		"goal": map[string]any{"whole": set.GoalTotal, "worstClass": set.GoalWorstClass}, "instances": set.Instances,
		"ordinal": set.Ordinal, "stage": set.Stage, "tiers": tiers, "quantum": micros(set.Quantum),
		"services": classes, "tenants": tenants,
		"rules": map[string]any{
			"cold": micros(set.WarmUp), "coldFrom": set.ColdCapacity, "fall": micros(set.OverloadWindow),
			"graceToAnswer": micros(model.Grace), "tipMultiple": set.OverloadMultiple,
		},
	}
}

func zoneName(i int) string { return fmt.Sprint("zone-", i) }

// target is how discovery says an entry.
func (st *stage) target(e decision.Entry) core.Target {
	t := core.Target{
		UID: fmt.Sprintf("server-%08x", uint32(e.Endpoint)), Address: st.servers[int(e.Endpoint)-1].address,
		Zone: zoneName(e.Zone), Model: st.w.S.Kinds[e.Kind].Name, Cell: e.Cell, Weight: e.Weight,
		State: [...]string{"Ready", "Terminating", "Gone"}[e.State],
	}
	if e.Started > 0 {
		t.BootMS = st.at(e.Started).UnixMilli()
	}
	return t
}

// Hear is the Brokers', as are the methods below.
func (st *stage) Hear(in *model.Instance, l decision.List) {
	i := st.of(in)
	if l.Kind == decision.FailedList {
		i.places.BreakOff()
		return
	}
	for _, e := range l.Entries {
		i.places.TellTarget(st.target(e))
	}
	if l.Kind == decision.FullList {
		for _, s := range in.Tier.Servers {
			if e := s.Entry(); e.State == decision.Departed {
				i.places.TellTarget(st.target(e))
			}
		}
		i.places.Resume()
	}
}

func (st *stage) of(in *model.Instance) *instance { return st.instances[len(st.instances)-1-in.N] }

// Kill kills a process. What it had taken is lost; nobody is to blame but us.
func (st *stage) Kill(in *model.Instance, lasts time.Duration) {
	i := st.of(in)
	if i.process == nil {
		return
	}
	p := i.process
	i.process = nil
	st.excuse(in)
	st.work.Go(p.Kill)
	if lasts >= 0 { // else it stays away, until a schedule of faults starts it
		st.After(lasts, func() { st.succeed(i, nil) })
	}
}

// killedFor is how long an instance that the ground has killed stays away.
const killedFor = 200 * time.Millisecond

// mortal is a process that its ground may kill. Dies is closed when it is about to; the process is killed once Excused has
// been called, since those who are told of a reset before its cause is known would take it for the process's own fault.
type mortal interface {
	Dies() <-chan struct{}
	Excused()
}

// dies is closed when the ground is about to kill a process, nil where it does not; excused lets it.
func dies(p Broker) (_ <-chan struct{}, excused func()) {
	if m, ok := p.(mortal); ok {
		return m.Dies(), m.Excused
	}
	return nil, func() {}
}

// excuse has nothing owed to those who asked an instance.
func (st *stage) excuse(in *model.Instance) {
	for _, t := range st.tries {
		if t.Instance == in {
			t.excused.Store(true)
			t.cancel() // net/http would ask the next process by itself, with the time left of the first
		}
	}
}

// Handover starts a successor, and ends its predecessor when that can serve.
func (st *stage) Handover(in *model.Instance) {
	if i := st.of(in); i.process != nil {
		st.succeed(i, i.process)
	}
}

// succeed starts a process that takes over from another, or from none.
func (st *stage) succeed(i *instance, old Broker) {
	if st.ctx.Err() != nil {
		return
	}
	p, err := st.start(i)
	if err != nil {
		st.fail(err)
		return
	}
	st.work.Go(func() {
		if err := p.Ready(st.ctx); err != nil {
			dies, _ := dies(p)
			select {
			case <-dies:
				return // who watches it starts another
			default:
			}
			if st.ctx.Err() == nil {
				st.fail(err)
			}
			return
		}
		st.post(func() {
			i.process = p
			if old != nil {
				st.work.Go(old.End)
			}
		})
	})
}

// oldPlacesFor is how long a discovery answers that brokers were told to leave.
const oldPlacesFor = time.Second

// staller is a process that can be made to stand still for a while.
type staller interface{ Stall(lasts time.Duration) }

// Befall stops an instance, has it stand still, has its operators drain it for a time, moves its discovery, or has that
// say what is odd.
func (st *stage) Befall(in *model.Instance, what string, lasts time.Duration) {
	i := st.of(in)
	p := i.process
	switch {
	case what == "stale" || what == "again":
		i.places.Repeat(what == "stale")
	case p == nil || i.leaving == p:
	case what == "stop" && i.seat.Shared():
		// Where the platform holds the socket there is a successor before anybody is told to end.
		st.succeed(i, p)
	case what == "stop":
		i.leaving = p
		st.work.Go(func() {
			p.End()
			st.post(func() {
				if i.process == p { // else it was killed, and has a successor
					i.process = nil
					st.After(lasts, func() { st.succeed(i, nil) })
				}
			})
		})
	case what == "stall":
		if p, ok := p.(staller); ok {
			st.w.Checker.Stalled(st.Now(), lasts, in.N)
			st.work.Go(func() { p.Stall(lasts) })
		}
	case what == "away":
		drain := func(on bool) {
			st.work.Go(func() {
				if err := p.Drain(on); err != nil && st.ctx.Err() == nil {
					st.post(func() {
						if i.process == p && i.leaving != p {
							st.fail(err)
						}
					})
				}
			})
		}
		drain(true)
		st.After(lasts, func() {
			if i.process == p {
				drain(false)
			}
		})
	case what == "reload":
		l, err := st.ground.Listen(discoveryName(i.name), i.zone, "")
		if err != nil {
			st.fail(err)
			return
		}
		old := i.places
		i.places = discoveryAt(l, nil)
		old.copyTo(i.places)
		if err = errors.Join(st.configure(i), p.Reload()); err != nil {
			st.fail(err)
		}
		st.After(oldPlacesFor, old.Close)
		st.moved = append(st.moved, old)
	}
}

// Parted is the Sockets'.
func (st *stage) Parted() {
	cut := map[[2]string]bool{}
	for _, i := range st.instances {
		for _, s := range i.in.Tier.Servers {
			if st.w.Parted(i.in, s) {
				cut[[2]string{i.name, serverName(s)}] = true
			}
		}
	}
	if len(cut) == 0 {
		st.ground.Part(nil)
		return
	}
	st.ground.Part(func(a, b string) bool { return cut[[2]string{a, b}] || cut[[2]string{b, a}] })
}

// try is one request on its way through an instance.
type try struct {
	*model.Try
	answered bool
	excused  atomic.Bool   // its instance was killed
	left     time.Duration // when its caller went; 0 for not
	number   int           // of attempts that have come to servers
	out      *attempt
	untold   []*attempt // of which the checker does not know yet
	telling  bool       // it will in a moment
	cancel   context.CancelFunc
}

// forgetAfter is how long a try is known after its answer: an attempt may still be on its way to a server.
const forgetAfter = 2 * time.Second

// Take sends a try to its instance.
func (st *stage) Take(m *model.Try) {
	i := st.of(m.Instance)
	if m.Until <= st.Now() {
		return // nobody waits for it
	}
	if i.process == nil {
		m.Asker.Hear(m, model.Unheard, 0)
		return
	}
	c := st.w.S.Classes[m.Class]
	st.w.Checker.Taken(st.Now(), rules.Request{
		ID: string(m.ID), Origin: m.Origin, Instance: m.Instance.N, Deadline: m.Until,
		Effect: c.Effect, Scope: c.Scope, Window: time.Duration(c.Window),
	})
	ctx, cancel := context.WithDeadline(st.ctx, st.at(m.Until+model.Grace+st.late))
	t := &try{Try: m, cancel: cancel}
	st.tries[m.ID] = t
	team := ""
	if len(st.w.S.Teams) > 0 {
		team = st.w.S.Teams[m.Team].Name
	}
	q := question{
		url: i.url, id: string(m.ID), class: c.Name, effect: c.Effect, team: team, key: m.Origin, repeat: m.Repeat,
		left: st.at(m.Until),
	}
	st.behave(t, &q, i)
	st.work.Go(func() {
		defer cancel()
		a := q.ask(ctx, i.client, &t.excused)
		st.post(func() { st.answered(t, a) })
	})
}

const (
	goneWithin = 60 * time.Millisecond // a caller that goes before its answer
	pieces     = 8                     // of a body that comes in pieces
	pieceEvery = 5 * time.Millisecond
	pieceSize  = 4 << 10
	junkFor    = 4 * time.Second // within which what is no request has to be answered, or its connection closed
)

// behave is what callers do to a share of what they ask.
func (st *stage) behave(t *try, q *question, i *instance) {
	some := func(what string) bool { share := st.w.Manner(what); return share > 0 && st.manners.Float64() < share }
	if some("gone") {
		st.After(time.Duration(1+st.manners.Int64N(int64(goneWithin))), func() {
			if !t.answered && st.Now() < t.Until {
				t.answered, t.left = true, st.Now()
				st.w.Checker.Lapsed(st.Now(), q.id)
				t.cancel()
				t.Asker.Hear(t.Try, model.Failed, 0)
				st.After(forgetAfter, func() { delete(st.tries, t.ID) })
			}
		})
	}
	if some("dribble") && q.effect != string(decision.Safe) {
		q.pieces, q.left = pieces, q.left.Add(-pieces*pieceEvery) // the time counts from the last byte
	}
	if some("twice") && i.alone() { // two processes know nothing of each other's ids
		copied := *q
		copied.pieces = 0
		st.After(time.Millisecond, func() {
			st.work.Go(func() { copied.once(st.ctx, i.client) }) // turned away: what it is told is nobody's answer
		})
	}
	if some("junk") {
		st.work.Go(func() {
			if err := st.junk(strings.TrimPrefix(i.url, "http://")); err != nil {
				st.post(func() {
					if i.process != nil && !t.excused.Load() && st.ctx.Err() == nil {
						st.fail(err)
					}
				})
			}
		})
	}
}

// alone tells whether an instance has one process.
func (i *instance) alone() bool {
	n := 0
	for _, p := range i.all {
		select {
		case <-p.Ended():
		default:
			n++
		}
	}
	return n == 1
}

// junk sends what is no request, and tells if that is neither answered nor its connection closed in time.
func (st *stage) junk(address string) error {
	ctx, stop := context.WithTimeout(st.ctx, junkFor)
	defer stop()
	c, err := st.ground.Dial(ctx, "tcp", address)
	if err != nil {
		return nil // nobody is there
	}
	defer c.Close()
	release := context.AfterFunc(st.ctx, func() { c.Close() })
	defer release()
	c.SetDeadline(time.Now().Add(junkFor))
	io.WriteString(c, "POST /lab HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
	_, err = io.Copy(io.Discard, c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("what is no request was neither answered nor ended within %v", junkFor)
	}
	return nil
}

// slowBody comes in pieces.
type slowBody struct {
	ctx  context.Context
	left int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	select {
	case <-time.After(pieceEvery):
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
	n := min(len(p), pieceSize)
	clear(p[:n])
	return n, nil
}

// answered is what became of a try.
func (st *stage) answered(t *try, a answer) {
	if t.answered {
		return
	}
	t.answered = true
	now, id := st.Now(), string(t.ID)
	switch {
	case a.err == nil:
		st.w.Checker.Answered(now, id, a.how)
	case t.excused.Load():
		st.w.Checker.Excused(now, id)
	case errors.Is(a.err, syscall.ECONNREFUSED): // nobody has taken it
		st.w.Checker.Excused(now, id)
		a.how = model.Unheard
	case errors.Is(a.err, context.DeadlineExceeded):
		st.w.Checker.Lapsed(now, id)
	default:
		st.w.Checker.Lost(now, id, a.err)
	}
	t.Asker.Hear(t.Try, a.how, a.retryAfter)
	st.After(forgetAfter, func() { delete(st.tries, t.ID) })
}

// Lapse is for a try that nobody waits for. At its deadline the answer may still come in time.
func (st *stage) Lapse(m *model.Try) {
	t := st.tries[m.ID]
	if t == nil || t.Try != m || t.answered || st.Now() >= m.Until {
		return
	}
	t.answered = true
	st.w.Checker.Lapsed(st.Now(), string(m.ID))
	t.cancel()
	st.After(forgetAfter, func() { delete(st.tries, m.ID) })
}

// question is a request as it goes out.
type question struct {
	url, id, class, effect, team, key string
	repeat                            bool
	pieces                            int // that its body comes in; 0 for a short one at once
	left                              time.Time
}

// answer is what came of it.
type answer struct {
	how        string
	retryAfter time.Duration
	err        error // no answer came
}

// ask sends it, and once more where the connection that it went out on was ended between two requests, and not because
// its process was killed.
func (q question) ask(ctx context.Context, client *http.Client, killed *atomic.Bool) answer {
	for {
		a, again := q.once(ctx, client)
		if !again || killed.Load() {
			return a
		}
	}
}

func (q question) once(ctx context.Context, client *http.Client) (_ answer, again bool) {
	method := http.MethodPost
	if q.effect == string(decision.Safe) {
		method = http.MethodGet
	}
	trace, used := watchReuse(ctx)
	var body io.Reader
	if method == http.MethodPost {
		// One that net/http cannot send again by itself, as it would what carries a key.
		body = io.MultiReader(strings.NewReader("lab"))
	}
	r, err := http.NewRequestWithContext(trace, method, q.url+"/lab", body)
	if err != nil {
		return answer{how: model.Failed, err: err}, false
	}
	if body != nil {
		r.ContentLength = int64(len("lab"))
	}
	if body != nil && q.pieces > 0 {
		r.Body, r.ContentLength = io.NopCloser(&slowBody{ctx, q.pieces}), -1
	}
	r.Header.Set("X-Txn", q.id)
	r.Header.Set("X-Lane", q.class)
	r.Header.Set("X-Remaining", fmt.Sprintf("%du", max(time.Until(q.left).Microseconds(), 0)))
	if q.team != "" {
		r.Header.Set("X-Org", q.team)
	}
	if q.repeat {
		r.Header.Set("X-Resent", "1")
	}
	if q.effect == string(decision.Keyed) {
		r.Header["Idempotency-Key"] = []string{q.key}
	}
	res, err := client.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			return answer{how: model.Failed, err: ctx.Err()}, false
		}
		return answer{how: model.Failed, err: err}, used.crossed()
	}
	defer res.Body.Close()
	if err := drain(res); err != nil {
		return answer{how: model.Failed, err: err}, false
	}
	switch res.StatusCode {
	case http.StatusOK:
		return answer{how: model.Served}, false
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		after, _ := time.ParseDuration(strings.TrimSpace(res.Header.Get("Retry-After")) + "s") // none is 0
		return answer{how: model.Refused, retryAfter: after}, false
	}
	return answer{how: model.Failed}, false
}
