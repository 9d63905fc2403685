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

// Version is the version of the file format.
const Version = 1

// Scenario is the content of a scenario file. Struct tags name the keys of the file; they stay as
// they are.
type Scenario struct {
	Version         int                 `toml:"version" doc:"of the format" min:"1" max:"1"`
	Name            string              `toml:"name" doc:"of the scenario"`
	Day             string              `toml:"day" doc:"which of the troubles come, beside those that name no day"`
	Duration        tomlconfig.Duration `toml:"lasts" doc:"how long callers ask" min:"1s" max:"1h"`
	Broker          Broker              `toml:"broker"`
	Servers         Servers             `toml:"servers"`
	Callers         Callers             `toml:"callers"`
	Network         Network             `toml:"network"`
	Discovery       Discovery           `toml:"discovery"`
	Kinds           []Kind              `toml:"kind"`
	Classes         []Class             `toml:"class"`
	Teams           []Team              `toml:"team"`
	DownstreamTiers []DownstreamTier    `toml:"below"`
	InjectedFaults  []InjectedFault     `toml:"trouble"`
	NetworkFaults   []faultnet.Step     `toml:"fault"`
}

// Broker describes the instances of the first tier.
type Broker struct {
	Instances      int                 `toml:"instances" doc:"how many" min:"1" max:"10000"`
	Quantum        tomlconfig.Duration `toml:"quantum" doc:"least time between two rounds of events" min:"1ms" max:"1s"`
	MaxAttempts    int                 `toml:"max_attempts" doc:"sends of a request; 0 for no bound" min:"0" max:"100"`
	MayCancel      bool                `toml:"may_cancel" doc:"whether an attempt may be called off"`
	ConnectTimeout tomlconfig.Duration `toml:"connect_timeout" doc:"for a connection" min:"1ms" max:"1m"`
	Fleet          bool                `toml:"fleet" doc:"whether they keep a view of the fleet, by gossip through a relay that faults are put into; on real sockets only"`
	Replicate      bool                `toml:"replicate" doc:"whether they tell each other which servers they isolated or were answered by; in virtual time"`
	Budgets        bool                `toml:"budgets" doc:"whether teams' quotas are divided among them by leases, in place of even parts; in virtual time"`
	MinWitnesses   int                 `toml:"witnesses" doc:"of them that have to call a server bad before another heeds it; 0 for the program's default" min:"0" max:"100"`
	MaxRetryAfter  tomlconfig.Duration `toml:"max_retry_after" doc:"the longest wait that callers follow" min:"0s" max:"1m"`
}

// Servers describes the servers of the first tier.
type Servers struct {
	Count            int                 `toml:"count" doc:"how many" min:"1" max:"100000"`
	Zones            int                 `toml:"zones" doc:"among which they are spread" min:"1" max:"64"`
	WarmUp           tomlconfig.Duration `toml:"cold" doc:"from a start until a server is warm" min:"0s" max:"10m"`
	ColdCapacity     float64             `toml:"cold_from" doc:"share of its capacity that it starts with" min:"0" max:"1"`
	OverloadMultiple float64             `toml:"tip" doc:"load over present capacity under which a cold one falls over; 0 for never" min:"0" max:"100"`
	OverloadWindow   tomlconfig.Duration `toml:"fall" doc:"for which the load has to last" min:"1ms" max:"1m"`
	DrainGrace       tomlconfig.Duration `toml:"drain_grace" doc:"in which new calls have to stop once a drain is told" min:"0s" max:"1m"`
}

// Kind is a kind of server.
type Kind struct {
	Name            string  `toml:"name" doc:"of the kind"`
	Share           float64 `toml:"share" doc:"of all servers" min:"0" max:"1"`
	Cores           int     `toml:"cores" doc:"calls that it works on at a time" min:"1" max:"1000"`
	Speed           Range   `toml:"speed" doc:"work done in a second, for each core"`
	Queue           int     `toml:"queue" doc:"calls that wait before more are turned away" min:"0" max:"100000"`
	ThrashThreshold int     `toml:"crowd" doc:"calls from which on it thrashes; 0 for never" min:"0" max:"100000"`
	ThrashFactor    float64 `toml:"thrash" doc:"how much slower a core is with twice as many" min:"0" max:"100"`
	ErrorRate       float64 `toml:"errors" doc:"share of answers that are errors" min:"0" max:"1"`
	Slots           int     `toml:"slots" doc:"calls that it has at a time, with those that wait for the tier below; 0 for no bound" min:"0" max:"100000"`
	CancelSaves     string  `toml:"stops" doc:"what a call that is called off no longer costs: nothing, waiting or all of it" oneof:"nothing waiting all" omitted:"waiting"`

	RestAfter      int                 `toml:"choke_after" doc:"calls after which it rests; 0 for never" min:"0" max:"1000000"`
	RestDuration   DurationRange       `toml:"rest" doc:"for how long"`
	PauseInterval  DurationRange       `toml:"pause_every" doc:"from the end of a pause to the next; 0 for none"`
	PauseDuration  DurationRange       `toml:"pause_for" doc:"how long it works on nothing"`
	MaxConnections int                 `toml:"connections" doc:"that it has open at a time; 0 for no bound" min:"0" max:"1000000"`
	Handshake      tomlconfig.Duration `toml:"handshake" doc:"of a core, for a new connection" min:"0s" max:"1s"`

	ReportsLoad    bool                `toml:"reports" doc:"whether answers carry a report of its load"`
	ReportInterval tomlconfig.Duration `toml:"report_every" doc:"how old that may be" min:"0s" max:"1m"`
	ReportNoise    float64             `toml:"report_noise" doc:"share by which it may be wrong" min:"0" max:"1"`
}

// Class is a class of request.
type Class struct {
	Name          string              `toml:"name" doc:"of the class"`
	Share         float64             `toml:"share" doc:"of all requests" min:"0" max:"1"`
	Work          Range               `toml:"work" doc:"seconds of a core of speed 1: evenly drawn, or with the middle as mean"`
	Distribution  string              `toml:"shape" doc:"of the work's distribution" oneof:"even exponential heavy" omitted:"even"`
	TailShare     float64             `toml:"tail" doc:"share of requests with ten times the work" min:"0" max:"1"`
	LatencyTarget tomlconfig.Duration `toml:"aim" doc:"an answer within this is served" min:"1ms" max:"10m"`
	Deadline      tomlconfig.Duration `toml:"deadline" doc:"a client's whole wait" min:"1ms" max:"10m"`
	Effect        string              `toml:"effect" doc:"safe, keyed or unsafe" oneof:"safe keyed unsafe"`
	Scope         string              `toml:"scope" doc:"of a key: all, zone or cell" oneof:"all zone cell"`
	Window        tomlconfig.Duration `toml:"window" doc:"how long repeats of a key are dropped" min:"0s" max:"1h"`
}

// Team is a tenant of the service.
type Team struct {
	Name  string  `toml:"name" doc:"of the team"`
	Share float64 `toml:"share" doc:"of all requests" min:"0" max:"1"`
	Quota float64 `toml:"quota" doc:"requests a second within its share" min:"0" max:"10000000"`
}

// DownstreamTier is a further tier, which the servers of the tier before it call for each request.
type DownstreamTier struct {
	Name          string  `toml:"name" doc:"of the tier"`
	Instances     int     `toml:"instances" doc:"of the broker" min:"1" max:"10000"`
	Servers       int     `toml:"servers" doc:"how many" min:"1" max:"100000"`
	Kind          string  `toml:"kind" doc:"of its servers; empty for all kinds by their shares"`
	Calls         Range   `toml:"calls" doc:"for each request, one after another"`
	Work          Range   `toml:"work" doc:"of each, in seconds of a core of speed 1"`
	ReservedShare float64 `toml:"keeps" doc:"share of the time left that its callers keep for themselves" min:"0" max:"0.9"`
}

// Callers describes the clients. Their load is open: new requests arrive whatever becomes of
// earlier ones.
type Callers struct {
	Rate             Range               `toml:"rate" doc:"requests a second, of all"`
	Arrivals         string              `toml:"arrivals" doc:"how requests come" oneof:"poisson even groups"`
	GroupSize        int                 `toml:"group" doc:"requests at once, of groups" min:"1" max:"10000"`
	RateAmplitude    float64             `toml:"wave" doc:"share by which the rate goes up and down once a minute" min:"0" max:"1"`
	HotFactor        float64             `toml:"hot" doc:"times the mean that one in ten instances gets; the others share the rest" min:"0" max:"9.5"`
	HotContiguous    bool                `toml:"hot_in_a_row" doc:"whether the numbers of those follow each other, as of one hall; else they are drawn"`
	MaxAttempts      int                 `toml:"tries" doc:"of a request" min:"1" max:"100"`
	Backoff          tomlconfig.Duration `toml:"backoff" doc:"before a second try; it doubles, half of it drawn" min:"0s" max:"1m"`
	AttemptTimeout   tomlconfig.Duration `toml:"try_for" doc:"how long a try is waited for; 0 for the whole deadline" min:"0s" max:"10m"`
	HonorsRetryAfter bool                `toml:"honours_retry_after" doc:"whether word when to come back is followed"`
	MarksRetries     bool                `toml:"marks_retries" doc:"whether repeats are marked"`
	MaxOpen          int                 `toml:"most" doc:"requests that may be open; more are counted and not made" min:"1" max:"10000000"`
}

// Network describes the network between clients, instances and servers.
type Network struct {
	Latency         DurationRange       `toml:"latency" doc:"one way, drawn for each message"`
	LossRate        float64             `toml:"loss" doc:"share of messages that are lost and sent again" min:"0" max:"1"`
	RetransmitAfter tomlconfig.Duration `toml:"sent_again" doc:"after which" min:"1ms" max:"1m"`
	ResetRate       float64             `toml:"resets" doc:"share of calls whose connection breaks under way" min:"0" max:"1"`
}

// Discovery describes how instances receive the endpoint list.
type Discovery struct {
	Delay DurationRange `toml:"delay" doc:"from a change until an instance hears of it"`
	Rate  int           `toml:"rate" doc:"lines of lists that it can send in a second, to all; 0 for no bound" min:"0" max:"100000000"`
}

// InjectedFault is a fault that a scenario injects at a time. Its kinds are:
//
//   - crash: servers end at once and start again, warming up; drain: they drain first; replace: for
//     each, a new server starts and the old one drains and departs for good;
//   - vanish: servers become unreachable, and only discovery announces that; zone: the same for a whole
//     zone; partition: the same between a share of the servers and a share of the instances, and
//     discovery does not see it;
//   - slow, neighbour (slow by turns), errors, pause: how servers work; reset: their connections are
//     reset; bytes: a fault on their connections, see ConnectionFault;
//   - flap: discovery announces servers as departed and ready by turns while they stay up;
//   - burst: clients offer more load; flood: one team offers a multiple of its share beside the others'
//     load; discovery: no updates are delivered; break: all watches of discovery break;
//   - kill: instances end at once and start again; handover: a successor process takes over from its
//     predecessor; stop: instances get SIGTERM, and the next process starts once they have ended; stall:
//     their processes stall; away: their operators drain them for a time; reload: they are told to use a
//     discovery at another address. In virtual time without the network code a stop is a kill, and the
//     last three do nothing; on real sockets, where the platform holds the listening socket, it is a
//     handover;
//   - stale: discovery sends an older list; again: it repeats a list; both on sockets only, as are the
//     faults of clients: for a share (Factor) of the requests, clients depart before the answer (gone),
//     send bodies in chunks (dribble), send malformed requests as well (junk) or use an id twice
//     (twice).
//
// The JSON keys are those of records that searches have written (package explore).
type InjectedFault struct {
	Kind            string              `toml:"what" json:"What" doc:"what happens" oneof:"crash drain replace vanish zone partition slow neighbour errors pause reset bytes flap burst flood discovery break kill handover stop stall away reload stale again gone dribble junk twice"`
	Day             string              `toml:"day" json:"Day" doc:"the scenario's day on which it comes; empty for each"`
	Start           DurationRange       `toml:"at" json:"At" doc:"when it begins"`
	Duration        DurationRange       `toml:"lasts" json:"Lasts" doc:"how long; of a drain, until the server is back"`
	Tier            int                 `toml:"tier" json:"Tier" doc:"whose servers and instances; 0 for the first" min:"0" max:"8"`
	ServerShare     float64             `toml:"share" json:"Share" doc:"of the servers" min:"0" max:"1"`
	InstanceShare   float64             `toml:"instances" json:"Of" doc:"share of the instances" min:"0" max:"1"`
	Factor          Range               `toml:"factor" json:"Factor" doc:"how much slower; share of errors, or of callers; rate of a burst over the usual"`
	Interval        tomlconfig.Duration `toml:"every" json:"Every" doc:"one after another, so far apart; 0 for all at once; of a flap, from turn to turn" min:"0s" max:"10m"`
	Team            string              `toml:"team" json:"Team" doc:"that floods"`
	ConnectionFault string              `toml:"how" json:"How" doc:"of bytes" oneof:"none reset stall half_close slow_read slow_write garbage cut syn" omitted:"none"`
	Bytes           int                 `toml:"bytes" json:"Bytes" doc:"after how many of an answer; of slow ones, in 20 ms" min:"0" max:"1000000000"`
}

//go:embed default.toml
var defaultText []byte

// Default returns the built-in scenario.
func Default() *Scenario {
	s, found := Parse("default.toml", defaultText)
	if len(found) > 0 {
		panic(validation.Join(found)) // a test reads it
	}
	return s
}

// defaultValues returns the values of keys that a file leaves out.
func defaultValues() *Scenario {
	return &Scenario{
		Name:      "unnamed",
		Duration:  tomlconfig.Duration(30 * time.Second),
		Broker:    Broker{Instances: 1, Quantum: tomlconfig.Duration(2 * time.Millisecond), MaxAttempts: 4, MayCancel: true, ConnectTimeout: tomlconfig.Duration(time.Second), MaxRetryAfter: tomlconfig.Duration(2 * time.Second)},
		Servers:   Servers{Count: 2, Zones: 1, WarmUp: tomlconfig.Duration(5 * time.Second), ColdCapacity: 0.3, OverloadWindow: tomlconfig.Duration(time.Second), DrainGrace: tomlconfig.Duration(time.Second)},
		Callers:   Callers{Rate: Range{100, 100}, HotFactor: 1, Arrivals: "poisson", GroupSize: 10, MaxAttempts: 3, Backoff: tomlconfig.Duration(100 * time.Millisecond), HonorsRetryAfter: true, MaxOpen: 1000000},
		Network:   Network{Latency: DurationRange{200 * time.Microsecond, 500 * time.Microsecond}, RetransmitAfter: tomlconfig.Duration(200 * time.Millisecond)},
		Discovery: Discovery{Delay: DurationRange{200 * time.Millisecond, time.Second}},
	}
}

// Load reads a scenario file and returns all of its faults.
func Load(path string) (*Scenario, []validation.Error) {
	data, found := tomlconfig.Read(path)
	if len(found) > 0 {
		return nil, found
	}
	return Parse(path, data)
}

// Parse reads the text of a scenario file and returns all of its faults.
func Parse(path string, data []byte) (*Scenario, []validation.Error) {
	s, _, found := tomlconfig.Decode(path, data, defaultValues, func(string) (string, bool) { return "", false })
	return s, found
}

// KindIndex is the index of a kind of server by its name, -1 where there is none.
func (s *Scenario) KindIndex(name string) int {
	return slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == name })
}

// TeamIndex is the index of a team by its name, -1 where there is none.
func (s *Scenario) TeamIndex(name string) int {
	return slices.IndexFunc(s.Teams, func(t Team) bool { return t.Name == name })
}

// Draw draws the work of one request, in seconds of a core of speed 1.
func (c *Class) Draw(r *rand.Rand) (work float64) {
	mean := (c.Work.From + c.Work.To) / 2
	switch c.Distribution {
	case "exponential":
		work = mean * r.ExpFloat64()
	case "heavy":
		// A Pareto distribution with the exponent 1.5: a third of its mean is its least, and what is above 100
		// times the mean is cut off.
		work = min(mean/3/math.Pow(1-r.Float64(), 1/1.5), 100*mean)
	default:
		work = c.Work.Draw(r)
	}
	if r.Float64() < c.TailShare {
		work *= 10
	}
	return max(work, 1e-6)
}

// Pick draws one of n indexes by their shares, which sum to 1. It returns 0 where n is 0.
func Pick(r *rand.Rand, n int, share func(int) float64) int {
	x := r.Float64()
	for i := range n {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return max(n-1, 0)
}
