package gossip

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"dykering/internal/faults"
	"dykering/internal/operator"
	"dykering/internal/strict"
)

// Section is the table [fleet] of an operator's file. It is read at the start; a change takes a new process.
type Section struct {
	Enabled        bool            `toml:"enabled" doc:"whether this broker keeps a view of the fleet by gossip with the others"`
	ID             string          `toml:"id" doc:"this broker's id in the fleet; empty: the platform's name of it"`
	Bind           string          `toml:"bind" doc:"IPv4 address and port of the gossip, UDP and TCP alike; port 0 is any"`
	Seeds          []string        `toml:"seeds" doc:"gossip addresses of members to join through; none: it waits to be joined"`
	Zone           string          `toml:"zone" doc:"this broker's zone, as others are told it"`
	Tier           string          `toml:"tier" doc:"this broker's tier, as others are told it"`
	Weight         int             `toml:"weight" doc:"this broker's part in fleet-wide budgets" min:"1" max:"1000"`
	ProbeInterval  strict.Duration `toml:"probe_interval" doc:"how often a member probes another" min:"50ms" max:"60s"`
	ProbeTimeout   strict.Duration `toml:"probe_timeout" doc:"how long a probe's answer is awaited" min:"10ms" max:"30s"`
	SuspicionMult  int             `toml:"suspicion_mult" doc:"a suspicion lasts this many probe intervals, times log10 of the members where that is over 1" min:"1" max:"20"`
	IndirectChecks int             `toml:"indirect_checks" doc:"members asked to probe one that did not answer" min:"1" max:"16"`
	DeadKept       strict.Duration `toml:"dead_kept" doc:"how long a dead or left member is remembered" min:"1s" max:"24h"`
	Most           int             `toml:"most" doc:"members held at most, this one among them" min:"2" max:"100000"`
	Replication    Replication     `toml:"replication"`
	Budgets        Budgets         `toml:"budgets"`
	Relay          string          `toml:"relay" doc:"laboratory only: a fault relay that all gossip goes through; empty: none"`
}

// Replication is the table [fleet.replication]: what the members tell each other of servers.
type Replication struct {
	Enabled   bool            `toml:"enabled" doc:"whether members tell each other which servers they isolated or were answered by"`
	TTL       strict.Duration `toml:"ttl" doc:"how long a fact holds that its origin does not tell anew" min:"1s" max:"5m"`
	Witnesses int             `toml:"witnesses" doc:"members that have to call a server bad before this one heeds it" min:"1" max:"100"`
	PerOrigin int             `toml:"per_origin" doc:"percent of the servers that one member may call bad; one that calls more so is not heard" min:"1" max:"100"`
	MostBad   int             `toml:"most_bad" doc:"percent of the servers that may be bad by the word of others" min:"1" max:"100"`
	Facts     int             `toml:"facts" doc:"facts of one member held at most" min:"1" max:"4096"`
	Rate      strict.Bytes    `toml:"rate" doc:"bytes a second that this member sends of them, at most" min:"1KiB" max:"64MiB"`
	Ahead     strict.Duration `toml:"ahead" doc:"how far ahead of this clock another's stamp may be" min:"100ms" max:"1h"`
	Snapshot  string          `toml:"snapshot" doc:"file that the facts are kept in, so that a restart comes back with them; empty: none"`
	Every     strict.Duration `toml:"snapshot_every" doc:"how often it is written" min:"200ms" max:"10m"`
	Offset    strict.Duration `toml:"clock_offset" doc:"laboratory only: how far this member's clock is taken to be ahead"`
}

// Budgets is the table [fleet.budgets]: tenants' quotas, divided among the live members.
type Budgets struct {
	Enabled bool            `toml:"enabled" doc:"whether tenants' quotas are divided among the live members by leases, in place of even parts"`
	Voters  []string        `toml:"voters" doc:"ids of the members that keep the ledger by Raft: three or five, the same list at all"`
	Dir     string          `toml:"dir" doc:"folder for a voter's part of the ledger; it has to outlive the process"`
	Wholes  []string        `toml:"wholes" doc:"tenant=requests a second, in place of the platform's quota of that tenant"`
	Retries float64         `toml:"retries" doc:"further attempts a second of the whole fleet; 0 leaves each member those that its answers earn"`
	Floor   int             `toml:"floor" doc:"percent of each whole set aside, in even parts, for members that reach no majority of the voters" min:"1" max:"90"`
	Lease   strict.Duration `toml:"lease" doc:"how long a lease holds from when it was asked for" min:"300ms" max:"5m"`
	Drift   int             `toml:"drift" doc:"percent by which any member's clock may run fast or slow" min:"1" max:"20"`
	Rate    float64         `toml:"clock_rate" doc:"laboratory only: seconds that this member's clock counts in one"`
}

// Whole reads one of Wholes.
func (b *Budgets) Whole(text string) (tenant string, perS float64, err error) {
	tenant, rate, ok := strings.Cut(text, "=")
	perS, bad := strconv.ParseFloat(rate, 64)
	if !ok || tenant == "" || bad != nil || !(perS >= 0 && perS <= 1e9) {
		return "", 0, fmt.Errorf("%q is not tenant=requests a second", text)
	}
	return tenant, perS, nil
}

// check finds the faults that the keys' bounds do not tell.
func (b *Budgets) check() (wrong []faults.Fault) {
	for _, text := range b.Wholes {
		if _, _, err := b.Whole(text); err != nil {
			wrong = append(wrong, faults.Fault{Key: "budgets.wholes", Text: err.Error()})
		}
	}
	if b.Enabled && len(b.Voters) == 0 {
		wrong = append(wrong, faults.Fault{Key: "budgets.voters", Text: "are needed where budgets are enabled"})
	}
	if len(b.Voters) > mostVoters {
		wrong = append(wrong, faults.Fault{Key: "budgets.voters", Text: fmt.Sprintf("are more than %d", mostVoters)})
	}
	for i, v := range b.Voters {
		if v == "" || slices.Contains(b.Voters[:i], v) {
			wrong = append(wrong, faults.Fault{Key: "budgets.voters", Text: fmt.Sprintf("%q is empty or named twice", v)})
		}
	}
	if !(b.Retries >= 0 && b.Retries <= 1e9) {
		wrong = append(wrong, faults.Fault{Key: "budgets.retries", Text: "has to be from 0 to 1000000000"})
	}
	if b.Rate < 0.5 || b.Rate > 2 {
		wrong = append(wrong, faults.Fault{Key: "budgets.clock_rate", Text: "has to be from 0.5 to 2"})
	}
	return wrong
}

// mostVoters bounds the group: each further one makes each grant slower.
const mostVoters = 7

// DefaultSection is what holds where the file says nothing: memberlist's settings for a LAN.
func DefaultSection() *Section {
	return &Section{Bind: "127.0.0.1:7946", Weight: 1, ProbeInterval: strict.Duration(time.Second),
		ProbeTimeout: strict.Duration(500 * time.Millisecond), SuspicionMult: 4, IndirectChecks: 3,
		DeadKept: strict.Duration(30 * time.Second), Most: 4096,
		Replication: Replication{TTL: strict.Duration(15 * time.Second), Witnesses: 2, PerOrigin: 30, MostBad: 20,
			Facts: 64, Rate: 64 << 10, Ahead: strict.Duration(10 * time.Second), Every: strict.Duration(5 * time.Second)},
		Budgets: Budgets{Floor: 20, Lease: strict.Duration(3 * time.Second), Drift: 1, Rate: 1}}
}

func init() {
	operator.Register("fleet", "The view of the fleet, kept by gossip among the brokers (SWIM). Off by default.",
		func() any { return DefaultSection() })
}

// Check finds the faults that the keys' bounds do not tell.
func (s *Section) Check() []faults.Fault {
	var wrong []faults.Fault
	if err := ipv4(s.Bind, true); err != "" {
		wrong = append(wrong, faults.Fault{Key: "bind", Text: err})
	}
	for _, seed := range s.Seeds {
		if err := ipv4(seed, false); err != "" {
			wrong = append(wrong, faults.Fault{Key: "seeds", Text: err})
		}
	}
	if s.Relay != "" {
		if err := ipv4(s.Relay, false); err != "" {
			wrong = append(wrong, faults.Fault{Key: "relay", Text: err})
		}
	}
	if inBounds := s.ProbeInterval >= strict.Duration(50*time.Millisecond) && s.ProbeTimeout <= strict.Duration(30*time.Second); inBounds && s.ProbeTimeout >= s.ProbeInterval {
		wrong = append(wrong, faults.Fault{Key: "probe_timeout", Text: "has to be shorter than probe_interval"})
	}
	wrong = append(wrong, s.Budgets.check()...)
	if s.Budgets.Enabled && s.Budgets.Dir == "" && s.ID != "" && slices.Contains(s.Budgets.Voters, s.ID) {
		wrong = append(wrong, faults.Fault{Key: "budgets.dir", Text: "is needed by a voter"})
	}
	if len(s.Seeds) > s.Most {
		wrong = append(wrong, faults.Fault{Key: "seeds", Text: "are more than most"})
	}
	return wrong
}

// ipv4 tells what is wrong with an IPv4 address and port, if anything.
func ipv4(addr string, any bool) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return strconv.Quote(addr) + " is not host:port"
	}
	if ip := net.ParseIP(host); ip == nil || ip.To4() == nil {
		return strconv.Quote(addr) + " is not an IPv4 address with its port"
	}
	if p, err := strconv.Atoi(port); err != nil || p > 65535 || p < 0 || p == 0 && !any {
		return strconv.Quote(addr) + " has no port it can be reached at"
	}
	return ""
}
