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

// Scenario is the content of a scenario file. The struct tags are the keys of the file and must not change.
type Scenario struct {
	Version         int                 `toml:"version" doc:"version of the format" min:"1" max:"1"`
	Name            string              `toml:"name" doc:"name of the scenario"`
	Day             string              `toml:"day" doc:"day whose troubles are injected, in addition to those without a day"`
	Duration        tomlconfig.Duration `toml:"lasts" doc:"time for which clients create requests" min:"1s" max:"1h"`
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
	Instances      int                 `toml:"instances" doc:"number of instances" min:"1" max:"10000"`
	Quantum        tomlconfig.Duration `toml:"quantum" doc:"minimum time between two rounds of event processing" min:"1ms" max:"1s"`
	MaxAttempts    int                 `toml:"max_attempts" doc:"maximum number of attempts of a request; 0 for no limit" min:"0" max:"100"`
	MayCancel      bool                `toml:"may_cancel" doc:"whether an attempt may be cancelled"`
	ConnectTimeout tomlconfig.Duration `toml:"connect_timeout" doc:"timeout for a new connection" min:"1ms" max:"1m"`
	Fleet          bool                `toml:"fleet" doc:"whether instances keep a view of the fleet, by gossip through a relay that injects faults; on real sockets only"`
	Replicate      bool                `toml:"replicate" doc:"whether instances replicate which servers they have ejected or had answers from; in virtual time only"`
	Budgets        bool                `toml:"budgets" doc:"whether instances share the teams' quotas by leases instead of in equal parts; in virtual time only"`
	MinWitnesses   int                 `toml:"witnesses" doc:"instances that must report a server as bad before another follows the advice; 0 for the program's default" min:"0" max:"100"`
	MaxRetryAfter  tomlconfig.Duration `toml:"max_retry_after" doc:"longest Retry-After time that instances send" min:"0s" max:"1m"`
}

// Servers describes the servers of the first tier.
type Servers struct {
	Count            int                 `toml:"count" doc:"number of servers" min:"1" max:"100000"`
	Zones            int                 `toml:"zones" doc:"number of zones among which the servers are spread" min:"1" max:"64"`
	WarmUp           tomlconfig.Duration `toml:"cold" doc:"warm-up time of a server after its start" min:"0s" max:"10m"`
	ColdCapacity     float64             `toml:"cold_from" doc:"share of its full capacity with which a server starts" min:"0" max:"1"`
	OverloadMultiple float64             `toml:"tip" doc:"multiple of the present capacity at which a server that warms up crashes; 0 for never" min:"0" max:"100"`
	OverloadWindow   tomlconfig.Duration `toml:"fall" doc:"time over which that load is measured" min:"1ms" max:"1m"`
	DrainGrace       tomlconfig.Duration `toml:"drain_grace" doc:"time after the announcement of a drain within which new attempts have to stop" min:"0s" max:"1m"`
}

// Kind is a kind of server.
type Kind struct {
	Name            string  `toml:"name" doc:"name of the kind"`
	Share           float64 `toml:"share" doc:"share of all servers" min:"0" max:"1"`
	Cores           int     `toml:"cores" doc:"attempts that a server works on at a time" min:"1" max:"1000"`
	Speed           Range   `toml:"speed" doc:"work done in a second by each core"`
	Queue           int     `toml:"queue" doc:"attempts that wait before further ones are rejected" min:"0" max:"100000"`
	ThrashThreshold int     `toml:"crowd" doc:"attempts above which the server slows down (thrashing); 0 for never" min:"0" max:"100000"`
	ThrashFactor    float64 `toml:"thrash" doc:"relative increase of the work's duration with twice as many attempts" min:"0" max:"100"`
	ErrorRate       float64 `toml:"errors" doc:"share of replies that are errors" min:"0" max:"1"`
	Slots           int     `toml:"slots" doc:"maximum number of attempts at a time, including those that wait for the next tier; 0 for no limit" min:"0" max:"100000"`
	CancelSaves     string  `toml:"stops" doc:"work that a cancelled attempt saves: nothing, waiting (if it is still queued) or all" oneof:"nothing waiting all" omitted:"waiting"`

	RestAfter      int                 `toml:"choke_after" doc:"attempts after which the server rests; 0 for never" min:"0" max:"1000000"`
	RestDuration   DurationRange       `toml:"rest" doc:"duration of a rest"`
	PauseInterval  DurationRange       `toml:"pause_every" doc:"time from the end of a pause to the next; 0 for no pauses"`
	PauseDuration  DurationRange       `toml:"pause_for" doc:"duration of a pause, in which the server does no work"`
	MaxConnections int                 `toml:"connections" doc:"maximum number of open connections; 0 for no limit" min:"0" max:"1000000"`
	Handshake      tomlconfig.Duration `toml:"handshake" doc:"core time for a new connection" min:"0s" max:"1s"`

	ReportsLoad    bool                `toml:"reports" doc:"whether replies contain a report of the server's load"`
	ReportInterval tomlconfig.Duration `toml:"report_every" doc:"interval at which the report is renewed" min:"0s" max:"1m"`
	ReportNoise    float64             `toml:"report_noise" doc:"largest relative error of the report" min:"0" max:"1"`
}

// Class is a class of request.
type Class struct {
	Name          string              `toml:"name" doc:"name of the class"`
	Share         float64             `toml:"share" doc:"share of all requests" min:"0" max:"1"`
	Work          Range               `toml:"work" doc:"seconds of a core of speed 1: the bounds of the even shape; their middle is the mean of the others"`
	Distribution  string              `toml:"shape" doc:"distribution of the work" oneof:"even exponential heavy" omitted:"even"`
	TailShare     float64             `toml:"tail" doc:"share of requests with ten times the work" min:"0" max:"1"`
	LatencyTarget tomlconfig.Duration `toml:"aim" doc:"latency target; an answer within it counts as served" min:"1ms" max:"10m"`
	Deadline      tomlconfig.Duration `toml:"deadline" doc:"total time that a client waits, including retries" min:"1ms" max:"10m"`
	Effect        string              `toml:"effect" doc:"whether a request may be repeated: always (safe), with its key (keyed) or never (unsafe)" oneof:"safe keyed unsafe"`
	Scope         string              `toml:"scope" doc:"servers that share the keys: all, those of a zone or those of a cell" oneof:"all zone cell"`
	Window        tomlconfig.Duration `toml:"window" doc:"time for which repeats of a key are dropped" min:"0s" max:"1h"`
}

// Team is a tenant of the service.
type Team struct {
	Name  string  `toml:"name" doc:"name of the team"`
	Share float64 `toml:"share" doc:"share of all requests" min:"0" max:"1"`
	Quota float64 `toml:"quota" doc:"requests per second that are within the team's quota" min:"0" max:"10000000"`
}

// DownstreamTier is a further tier, which the servers of the tier before it call for each request.
type DownstreamTier struct {
	Name          string  `toml:"name" doc:"name of the tier"`
	Instances     int     `toml:"instances" doc:"number of instances of the broker" min:"1" max:"10000"`
	Servers       int     `toml:"servers" doc:"number of servers" min:"1" max:"100000"`
	Kind          string  `toml:"kind" doc:"kind of the servers; empty for all kinds by their shares"`
	Calls         Range   `toml:"calls" doc:"requests to this tier for each request of the tier before, one after another"`
	Work          Range   `toml:"work" doc:"work of each request, in seconds of a core of speed 1"`
	ReservedShare float64 `toml:"keeps" doc:"share of the remaining time that the calling servers reserve for their own work" min:"0" max:"0.9"`
}

// Callers describes the clients. Their load is open-loop: new requests arrive independently of the outcome of
// earlier ones.
type Callers struct {
	Rate             Range               `toml:"rate" doc:"requests per second of all clients"`
	Arrivals         string              `toml:"arrivals" doc:"distribution of the arrivals" oneof:"poisson even groups"`
	GroupSize        int                 `toml:"group" doc:"requests that arrive together, with groups" min:"1" max:"10000"`
	RateAmplitude    float64             `toml:"wave" doc:"share by which the rate rises and falls once a minute" min:"0" max:"1"`
	HotFactor        float64             `toml:"hot" doc:"multiple of the mean load that one in ten instances gets; the others share the rest" min:"0" max:"9.5"`
	HotContiguous    bool                `toml:"hot_in_a_row" doc:"whether these instances have consecutive numbers, as in one zone; otherwise they are random"`
	MaxAttempts      int                 `toml:"tries" doc:"maximum number of requests for an operation" min:"1" max:"100"`
	Backoff          tomlconfig.Duration `toml:"backoff" doc:"wait before the first retry; it doubles with each retry, and half of it is random" min:"0s" max:"1m"`
	AttemptTimeout   tomlconfig.Duration `toml:"try_for" doc:"timeout of one request; 0 for the whole deadline" min:"0s" max:"10m"`
	HonorsRetryAfter bool                `toml:"honours_retry_after" doc:"whether clients wait for the Retry-After time"`
	MarksRetries     bool                `toml:"marks_retries" doc:"whether clients mark retries"`
	MaxOpen          int                 `toml:"most" doc:"maximum number of open operations; further ones are counted but not sent" min:"1" max:"10000000"`
}

// Network describes the network between clients, instances and servers.
type Network struct {
	Latency         DurationRange       `toml:"latency" doc:"one-way latency, drawn for each message"`
	LossRate        float64             `toml:"loss" doc:"share of messages that are lost and retransmitted" min:"0" max:"1"`
	RetransmitAfter tomlconfig.Duration `toml:"sent_again" doc:"time until the retransmission" min:"1ms" max:"1m"`
	ResetRate       float64             `toml:"resets" doc:"share of attempts whose connection is reset" min:"0" max:"1"`
}

// Discovery describes how instances receive the endpoint list.
type Discovery struct {
	Delay DurationRange `toml:"delay" doc:"time from a change until an instance receives the update"`
	Rate  int           `toml:"rate" doc:"list entries per second that discovery can send to all instances together; 0 for no limit" min:"0" max:"100000000"`
}

// InjectedFault is a fault that a scenario injects at a time. The faults of servers are:
//
//   - crash: servers end immediately and start again, with a warm-up;
//   - drain: servers drain before they end and start again;
//   - replace: for each server a new one starts, and the old one drains and departs permanently;
//   - vanish: servers become unreachable, and discovery announces them as departed;
//   - zone: all servers of one zone vanish;
//   - partition: a share of the servers and a share of the instances cannot reach each other, and discovery
//     does not notice;
//   - slow: servers work more slowly; neighbour: they are alternately slow and fast;
//   - errors: servers reply with errors; pause: they do no work for a time;
//   - reset: the connections of servers are reset; bytes: a fault on their connections, see ConnectionFault;
//   - flap: discovery announces servers alternately as departed and ready while they stay up.
//
// The faults of discovery are:
//
//   - discovery: no updates are delivered;
//   - break: all watches break;
//   - stale: discovery sends an older list; again: it repeats a list (both on sockets only).
//
// The faults of instances are:
//
//   - kill: instances end immediately and start again;
//   - handover: a successor process takes over from its predecessor;
//   - stop: instances receive SIGTERM, and the next process starts when they have ended;
//   - stall: the processes of instances stall;
//   - away: an operator drains instances for a time;
//   - reload: instances receive the address of another discovery.
//
// In virtual time, without the network code, a stop is the same as a kill, and stall, away and reload have no
// effect. On real sockets, where the platform holds the listening socket, a stop is the same as a handover.
//
// The faults of clients are:
//
//   - burst: clients offer more load;
//   - flood: one team offers a multiple of its share in addition to the other teams' load;
//   - gone, dribble, junk, twice: for a share (Factor) of the requests, clients depart before the answer, send
//     bodies in chunks, also send malformed requests, or use a request identifier twice (on sockets only).
//
// The JSON keys are those of the records that the searches of package explore have written.
type InjectedFault struct {
	Kind            string              `toml:"what" json:"What" doc:"kind of the fault" oneof:"crash drain replace vanish zone partition slow neighbour errors pause reset bytes flap burst flood discovery break kill handover stop stall away reload stale again gone dribble junk twice"`
	Day             string              `toml:"day" json:"Day" doc:"day of the scenario to which it belongs; empty for each day"`
	Start           DurationRange       `toml:"at" json:"At" doc:"time at which it begins"`
	Duration        DurationRange       `toml:"lasts" json:"Lasts" doc:"duration; for a drain, until the server has restarted"`
	Tier            int                 `toml:"tier" json:"Tier" doc:"tier of the affected servers and instances; 0 for the first" min:"0" max:"8"`
	ServerShare     float64             `toml:"share" json:"Share" doc:"share of the servers" min:"0" max:"1"`
	InstanceShare   float64             `toml:"instances" json:"Of" doc:"share of the instances" min:"0" max:"1"`
	Factor          Range               `toml:"factor" json:"Factor" doc:"slowdown; share of errors or of requests; multiple of the usual rate for a burst"`
	Interval        tomlconfig.Duration `toml:"every" json:"Every" doc:"time between one server or instance and the next; 0 for all at once; for a flap, between two announcements" min:"0s" max:"10m"`
	Team            string              `toml:"team" json:"Team" doc:"team that floods"`
	ConnectionFault string              `toml:"how" json:"How" doc:"fault on the connections, for the kind bytes" oneof:"none reset stall half_close slow_read slow_write garbage cut syn" omitted:"none"`
	Bytes           int                 `toml:"bytes" json:"Bytes" doc:"bytes of a reply before the fault; for slow_read and slow_write, bytes in 20 ms" min:"0" max:"1000000000"`
}

//go:embed default.toml
var defaultText []byte

// Default returns the built-in scenario.
func Default() *Scenario {
	s, found := Parse("default.toml", defaultText)
	if len(found) > 0 {
		panic(validation.Join(found)) // cannot happen: a test loads the built-in scenario
	}
	return s
}

// defaultValues returns the default values of the keys that a file does not contain.
func defaultValues() *Scenario {
	return &Scenario{
		Name:     "unnamed",
		Duration: tomlconfig.Duration(30 * time.Second),
		Broker: Broker{
			Instances: 1, Quantum: tomlconfig.Duration(2 * time.Millisecond), MaxAttempts: 4, MayCancel: true,
			ConnectTimeout: tomlconfig.Duration(time.Second), MaxRetryAfter: tomlconfig.Duration(2 * time.Second),
		},
		Servers: Servers{
			Count: 2, Zones: 1, WarmUp: tomlconfig.Duration(5 * time.Second), ColdCapacity: 0.3,
			OverloadWindow: tomlconfig.Duration(time.Second), DrainGrace: tomlconfig.Duration(time.Second),
		},
		Callers: Callers{
			Rate: Range{100, 100}, HotFactor: 1, Arrivals: "poisson", GroupSize: 10, MaxAttempts: 3,
			Backoff: tomlconfig.Duration(100 * time.Millisecond), HonorsRetryAfter: true, MaxOpen: 1000000,
		},
		Network: Network{
			Latency:         DurationRange{200 * time.Microsecond, 500 * time.Microsecond},
			RetransmitAfter: tomlconfig.Duration(200 * time.Millisecond),
		},
		Discovery: Discovery{Delay: DurationRange{200 * time.Millisecond, time.Second}},
	}
}

// Load reads a scenario file. It returns all errors of the file.
func Load(path string) (*Scenario, []validation.Error) {
	data, found := tomlconfig.Read(path)
	if len(found) > 0 {
		return nil, found
	}
	return Parse(path, data)
}

// Parse parses the text of a scenario file. It returns all errors of the text.
func Parse(path string, data []byte) (*Scenario, []validation.Error) {
	s, _, found := tomlconfig.Decode(path, data, defaultValues, func(string) (string, bool) { return "", false })
	return s, found
}

// KindIndex returns the index of the kind of server with a name, or -1.
func (s *Scenario) KindIndex(name string) int {
	return slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == name })
}

// TeamIndex returns the index of the team with a name, or -1.
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
		// A Pareto distribution with the shape 1.5, whose minimum is a third of its mean. Values above 100
		// times the mean are reduced to that.
		work = min(mean/3/math.Pow(1-r.Float64(), 1/1.5), 100*mean)
	default:
		work = c.Work.Draw(r)
	}
	if r.Float64() < c.TailShare {
		work *= 10
	}
	return max(work, 1e-6)
}

// Pick draws one of n indexes by their shares, which must sum to 1. It returns 0 if n is 0.
func Pick(r *rand.Rand, n int, share func(int) float64) int {
	x := r.Float64()
	for i := range n {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return max(n-1, 0)
}
