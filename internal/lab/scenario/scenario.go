// Package scenario is what the laboratory plays: a day of callers, instances of the broker, servers, discovery and
// troubles, as a TOML file says. Values that are ranges are drawn from a seed, so that one file is many days.
package scenario

import (
	_ "embed"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dykering/internal/lab/faultnet"
	"dykering/internal/tomlconfig"
	"dykering/internal/validation"
)

// Version is that of the format.
const Version = 1

// Scenario is a file.
type Scenario struct {
	Version   int                 `toml:"version" doc:"of the format" min:"1" max:"1"`
	Name      string              `toml:"name" doc:"of the scenario"`
	Day       string              `toml:"day" doc:"which of the troubles come, beside those that name no day"`
	Lasts     tomlconfig.Duration `toml:"lasts" doc:"how long callers ask" min:"1s" max:"1h"`
	Broker    Broker              `toml:"broker"`
	Servers   Servers             `toml:"servers"`
	Callers   Callers             `toml:"callers"`
	Network   Network             `toml:"network"`
	Discovery Discovery           `toml:"discovery"`
	Kinds     []Kind              `toml:"kind"`
	Classes   []Class             `toml:"class"`
	Teams     []Team              `toml:"team"`
	Below     []Below             `toml:"below"`
	Troubles  []Trouble           `toml:"trouble"`
	Faults    []faultnet.Step     `toml:"fault"`
}

// Broker is the tier of instances.
type Broker struct {
	Instances   int                 `toml:"instances" doc:"how many" min:"1" max:"10000"`
	Quantum     tomlconfig.Duration `toml:"quantum" doc:"least time between two rounds of events" min:"1ms" max:"1s"`
	MaxAttempts int                 `toml:"max_attempts" doc:"sends of a request; 0 for no bound" min:"0" max:"100"`
	MayCancel   bool                `toml:"may_cancel" doc:"whether an attempt may be called off"`
	Connect     tomlconfig.Duration `toml:"connect_timeout" doc:"for a connection" min:"1ms" max:"1m"`
	Fleet       bool                `toml:"fleet" doc:"whether they keep a view of the fleet, by gossip through a relay that faults are put into; on real sockets only"`
	Replicate   bool                `toml:"replicate" doc:"whether they tell each other which servers they isolated or were answered by; in virtual time"`
	Budgets     bool                `toml:"budgets" doc:"whether teams' quotas are divided among them by leases, in place of even parts; in virtual time"`
	Witnesses   int                 `toml:"witnesses" doc:"of them that have to call a server bad before another heeds it; 0 for the program's default" min:"0" max:"100"`
	RetryAfter  tomlconfig.Duration `toml:"max_retry_after" doc:"the longest wait that callers follow" min:"0s" max:"1m"`
}

// Servers are those of the next tier.
type Servers struct {
	Count int                 `toml:"count" doc:"how many" min:"1" max:"100000"`
	Zones int                 `toml:"zones" doc:"among which they are spread" min:"1" max:"64"`
	Cold  tomlconfig.Duration `toml:"cold" doc:"from a start until a server is warm" min:"0s" max:"10m"`
	From  float64             `toml:"cold_from" doc:"share of its capacity that it starts with" min:"0" max:"1"`
	Tip   float64             `toml:"tip" doc:"load over present capacity under which a cold one falls over; 0 for never" min:"0" max:"100"`
	Fall  tomlconfig.Duration `toml:"fall" doc:"for which the load has to last" min:"1ms" max:"1m"`
	Grace tomlconfig.Duration `toml:"drain_grace" doc:"in which new calls have to stop once a drain is told" min:"0s" max:"1m"`
}

// Kind is a kind of server.
type Kind struct {
	Name   string  `toml:"name" doc:"of the kind"`
	Share  float64 `toml:"share" doc:"of all servers" min:"0" max:"1"`
	Cores  int     `toml:"cores" doc:"calls that it works on at a time" min:"1" max:"1000"`
	Speed  Span    `toml:"speed" doc:"work done in a second, for each core"`
	Queue  int     `toml:"queue" doc:"calls that wait before more are turned away" min:"0" max:"100000"`
	Crowd  int     `toml:"crowd" doc:"calls from which on it thrashes; 0 for never" min:"0" max:"100000"`
	Thrash float64 `toml:"thrash" doc:"how much slower a core is with twice as many" min:"0" max:"100"`
	Errors float64 `toml:"errors" doc:"share of answers that are errors" min:"0" max:"1"`
	Slots  int     `toml:"slots" doc:"calls that it has at a time, with those that wait for the tier below; 0 for no bound" min:"0" max:"100000"`
	Stops  string  `toml:"stops" doc:"what a call that is called off no longer costs: nothing, waiting or all of it" oneof:"nothing waiting all" omitted:"waiting"`

	ChokeAfter int                 `toml:"choke_after" doc:"calls after which it rests; 0 for never" min:"0" max:"1000000"`
	Rest       Times               `toml:"rest" doc:"for how long"`
	PauseEvery Times               `toml:"pause_every" doc:"from the end of a pause to the next; 0 for none"`
	PauseFor   Times               `toml:"pause_for" doc:"how long it works on nothing"`
	Conns      int                 `toml:"connections" doc:"that it has open at a time; 0 for no bound" min:"0" max:"1000000"`
	Handshake  tomlconfig.Duration `toml:"handshake" doc:"of a core, for a new connection" min:"0s" max:"1s"`

	Reports     bool                `toml:"reports" doc:"whether answers carry a report of its load"`
	ReportEvery tomlconfig.Duration `toml:"report_every" doc:"how old that may be" min:"0s" max:"1m"`
	ReportNoise float64             `toml:"report_noise" doc:"share by which it may be wrong" min:"0" max:"1"`
}

// Class is a class of request.
type Class struct {
	Name     string              `toml:"name" doc:"of the class"`
	Share    float64             `toml:"share" doc:"of all requests" min:"0" max:"1"`
	Work     Span                `toml:"work" doc:"seconds of a core of speed 1: evenly drawn, or with the middle as mean"`
	Shape    string              `toml:"shape" doc:"of the work's distribution" oneof:"even exponential heavy" omitted:"even"`
	Tail     float64             `toml:"tail" doc:"share of requests with ten times the work" min:"0" max:"1"`
	Aim      tomlconfig.Duration `toml:"aim" doc:"an answer within this is served" min:"1ms" max:"10m"`
	Deadline tomlconfig.Duration `toml:"deadline" doc:"a client's whole wait" min:"1ms" max:"10m"`
	Effect   string              `toml:"effect" doc:"safe, keyed or unsafe" oneof:"safe keyed unsafe"`
	Scope    string              `toml:"scope" doc:"of a key: all, zone or cell" oneof:"all zone cell"`
	Window   tomlconfig.Duration `toml:"window" doc:"how long repeats of a key are dropped" min:"0s" max:"1h"`
}

// Team is one of those who share the service.
type Team struct {
	Name  string  `toml:"name" doc:"of the team"`
	Share float64 `toml:"share" doc:"of all requests" min:"0" max:"1"`
	Quota float64 `toml:"quota" doc:"requests a second within its share" min:"0" max:"10000000"`
}

// Below is a further tier, that the servers of the one before call for each request.
type Below struct {
	Name      string  `toml:"name" doc:"of the tier"`
	Instances int     `toml:"instances" doc:"of the broker" min:"1" max:"10000"`
	Servers   int     `toml:"servers" doc:"how many" min:"1" max:"100000"`
	Kind      string  `toml:"kind" doc:"of its servers; empty for all kinds by their shares"`
	Calls     Span    `toml:"calls" doc:"for each request, one after another"`
	Work      Span    `toml:"work" doc:"of each, in seconds of a core of speed 1"`
	Keeps     float64 `toml:"keeps" doc:"share of the time left that its callers keep for themselves" min:"0" max:"0.9"`
}

// Callers ask, whatever becomes of what they asked before.
type Callers struct {
	Rate     Span                `toml:"rate" doc:"requests a second, of all"`
	Arrivals string              `toml:"arrivals" doc:"how requests come" oneof:"poisson even groups"`
	Group    int                 `toml:"group" doc:"requests at once, of groups" min:"1" max:"10000"`
	Wave     float64             `toml:"wave" doc:"share by which the rate goes up and down once a minute" min:"0" max:"1"`
	Hot      float64             `toml:"hot" doc:"times the mean that one in ten instances gets; the others share the rest" min:"0" max:"9.5"`
	Row      bool                `toml:"hot_in_a_row" doc:"whether the numbers of those follow each other, as of one hall; else they are drawn"`
	Tries    int                 `toml:"tries" doc:"of a request" min:"1" max:"100"`
	Backoff  tomlconfig.Duration `toml:"backoff" doc:"before a second try; it doubles, half of it drawn" min:"0s" max:"1m"`
	Patience tomlconfig.Duration `toml:"try_for" doc:"how long a try is waited for; 0 for the whole deadline" min:"0s" max:"10m"`
	Honours  bool                `toml:"honours_retry_after" doc:"whether word when to come back is followed"`
	Marks    bool                `toml:"marks_retries" doc:"whether repeats are marked"`
	Most     int                 `toml:"most" doc:"requests that may be open; more are counted and not made" min:"1" max:"10000000"`
}

// Network is between callers, instances and servers.
type Network struct {
	Latency Times               `toml:"latency" doc:"one way, drawn for each message"`
	Loss    float64             `toml:"loss" doc:"share of messages that are lost and sent again" min:"0" max:"1"`
	Again   tomlconfig.Duration `toml:"sent_again" doc:"after which" min:"1ms" max:"1m"`
	Resets  float64             `toml:"resets" doc:"share of calls whose connection breaks under way" min:"0" max:"1"`
}

// Discovery tells instances of the servers.
type Discovery struct {
	Delay Times `toml:"delay" doc:"from a change until an instance hears of it"`
	Rate  int   `toml:"rate" doc:"lines of lists that it can send in a second, to all; 0 for no bound" min:"0" max:"100000000"`
}

// Trouble is what befalls the world at a time.
//
//   - crash: servers end at once and start again, cold; drain: they are drained first; replace: for each, another
//     starts and the old one drains and is gone for good;
//   - vanish: nothing comes from servers any more, and nothing says so but discovery; zone: the same for a whole zone;
//     partition: the same between a share of the servers and a share of the instances, and discovery does not see it;
//   - slow, neighbour (slow by turns), errors, pause: what servers do; reset: their connections break;
//     bytes: what they send and read goes wrong on the connection, see Bytes;
//   - flap: discovery says that servers are gone and back by turns, and they are not;
//   - burst: more is asked; flood: a team asks for so many times its share, beside what the others ask; discovery: no news comes; break: all watches of it break off;
//   - kill: instances of the broker end at once and start again; handover: a new process takes over from an old one;
//     stop: they are told to end, and the next process starts once they have; away: their operators send callers away
//     for a time; reload: they are told to follow a discovery at another address. In virtual time without the network
//     code a stop is a kill, and the other two are nothing; on real sockets, and beside a handover, it is a handover;
//   - stale: discovery sends an older list; again: it sends what it has sent; on sockets alone, as what callers do:
//     for a share (factor) of tries they go before they are answered (gone), send bodies in pieces (dribble), send what
//     is no request beside (junk), or use an id twice (twice).
type Trouble struct {
	What   string              `toml:"what" doc:"what happens" oneof:"crash drain replace vanish zone partition slow neighbour errors pause reset bytes flap burst flood discovery break kill handover stop stall away reload stale again gone dribble junk twice"`
	Day    string              `toml:"day" doc:"the scenario's day on which it comes; empty for each"`
	At     Times               `toml:"at" doc:"when it begins"`
	Lasts  Times               `toml:"lasts" doc:"how long; of a drain, until the server is back"`
	Tier   int                 `toml:"tier" doc:"whose servers and instances; 0 for the first" min:"0" max:"8"`
	Share  float64             `toml:"share" doc:"of the servers" min:"0" max:"1"`
	Of     float64             `toml:"instances" doc:"share of the instances" min:"0" max:"1"`
	Factor Span                `toml:"factor" doc:"how much slower; share of errors, or of callers; rate of a burst over the usual"`
	Every  tomlconfig.Duration `toml:"every" doc:"one after another, so far apart; 0 for all at once; of a flap, from turn to turn" min:"0s" max:"10m"`
	Team   string              `toml:"team" doc:"that floods"`
	How    string              `toml:"how" doc:"of bytes" oneof:"none reset stall half_close slow_read slow_write garbage cut syn" omitted:"none"`
	Bytes  int                 `toml:"bytes" doc:"after how many of an answer; of slow ones, in 20 ms" min:"0" max:"1000000000"`
}

//go:embed default.toml
var standard []byte

// Default is the scenario that is built in.
func Default() *Scenario {
	s, wrong := Parse("default.toml", standard)
	if len(wrong) > 0 {
		panic(validation.Join(wrong)) // a test reads it
	}
	return s
}

// base is what holds where a file says nothing.
func base() *Scenario {
	return &Scenario{
		Name:      "unnamed",
		Lasts:     tomlconfig.Duration(30 * time.Second),
		Broker:    Broker{Instances: 1, Quantum: tomlconfig.Duration(2 * time.Millisecond), MaxAttempts: 4, MayCancel: true, Connect: tomlconfig.Duration(time.Second), RetryAfter: tomlconfig.Duration(2 * time.Second)},
		Servers:   Servers{Count: 2, Zones: 1, Cold: tomlconfig.Duration(5 * time.Second), From: 0.3, Fall: tomlconfig.Duration(time.Second), Grace: tomlconfig.Duration(time.Second)},
		Callers:   Callers{Rate: Span{100, 100}, Hot: 1, Arrivals: "poisson", Group: 10, Tries: 3, Backoff: tomlconfig.Duration(100 * time.Millisecond), Honours: true, Most: 1000000},
		Network:   Network{Latency: Times{200 * time.Microsecond, 500 * time.Microsecond}, Again: tomlconfig.Duration(200 * time.Millisecond)},
		Discovery: Discovery{Delay: Times{200 * time.Millisecond, time.Second}},
	}
}

// Load reads a file.
func Load(path string) (*Scenario, []validation.Error) {
	data, wrong := tomlconfig.Read(path)
	if len(wrong) > 0 {
		return nil, wrong
	}
	return Parse(path, data)
}

// Parse reads a file's text, and finds all its faults.
func Parse(path string, data []byte) (*Scenario, []validation.Error) {
	s, _, wrong := tomlconfig.Decode(path, data, base, func(string) (string, bool) { return "", false })
	return s, wrong
}

// KindOf is the place of a kind of server by its name, -1 for none.
func (s *Scenario) KindOf(name string) int {
	return slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == name })
}

// TeamOf is the place of a team by its name, -1 for none.
func (s *Scenario) TeamOf(name string) int {
	return slices.IndexFunc(s.Teams, func(t Team) bool { return t.Name == name })
}

// Draw takes the work of a request.
func (c *Class) Draw(r *rand.Rand) (work float64) {
	mean := (c.Work.From + c.Work.To) / 2
	switch c.Shape {
	case "exponential":
		work = mean * r.ExpFloat64()
	case "heavy":
		// A Pareto distribution with the exponent 1.5: a third of its mean is its least, and what is above 100 times the
		// mean is cut off.
		work = min(mean/3/math.Pow(1-r.Float64(), 1/1.5), 100*mean)
	default:
		work = c.Work.Draw(r)
	}
	if r.Float64() < c.Tail {
		work *= 10
	}
	return max(work, 1e-6)
}

// Pick takes one of n by their shares, which sum to 1; 0 of none.
func Pick(r *rand.Rand, n int, share func(int) float64) int {
	x := r.Float64()
	for i := range n {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return max(n-1, 0)
}
