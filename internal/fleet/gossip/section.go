package gossip

import (
	"time"

	"dykering/internal/operator"
	"dykering/internal/tomlconfig"
)

// Section holds the table [fleet] of the operator's file. A process reads it at its start, so a change takes effect with
// the next process. Package operator generates the documented example file from the tags toml, doc, min and max.
type Section struct {
	Enabled        bool                `toml:"enabled" doc:"whether this broker keeps a view of the fleet by gossip with the others"`
	ID             string              `toml:"id" doc:"this broker's id in the fleet; empty: the platform's name of it"`
	Bind           string              `toml:"bind" doc:"IPv4 address and port of the gossip, UDP and TCP alike; port 0 is any"`
	Seeds          []string            `toml:"seeds" doc:"gossip addresses of members to join through; none: it waits to be joined"`
	Zone           string              `toml:"zone" doc:"this broker's zone, as others are told it"`
	Tier           string              `toml:"tier" doc:"this broker's tier, as others are told it"`
	Weight         int                 `toml:"weight" doc:"this broker's part in fleet-wide budgets" min:"1" max:"1000"`
	ProbeInterval  tomlconfig.Duration `toml:"probe_interval" doc:"how often a member probes another" min:"50ms" max:"60s"`
	ProbeTimeout   tomlconfig.Duration `toml:"probe_timeout" doc:"how long a probe's answer is awaited" min:"10ms" max:"30s"`
	SuspicionMult  int                 `toml:"suspicion_mult" doc:"a suspicion lasts this many probe intervals, times log10 of the members where that is over 1" min:"1" max:"20"`
	IndirectChecks int                 `toml:"indirect_checks" doc:"members asked to probe one that did not answer" min:"1" max:"16"`
	DeadRetention  tomlconfig.Duration `toml:"dead_kept" doc:"how long a dead or left member is remembered" min:"1s" max:"24h"`
	MaxMembers     int                 `toml:"most" doc:"members held at most, this one among them" min:"2" max:"100000"`
	Replication    Replication         `toml:"replication"`
	Budgets        Budgets             `toml:"budgets"`
	Relay          string              `toml:"relay" doc:"laboratory only: a fault relay that all gossip goes through; empty: none"`
}

// Replication holds the table [fleet.replication], which configures the exchange of facts about servers among members.
type Replication struct {
	Enabled                bool                `toml:"enabled" doc:"whether members tell each other which servers they isolated or were answered by"`
	TTL                    tomlconfig.Duration `toml:"ttl" doc:"how long a fact holds that its origin does not tell anew" min:"1s" max:"5m"`
	MinWitnesses           int                 `toml:"witnesses" doc:"members that have to call a server bad before this one heeds it" min:"1" max:"100"`
	MaxBadPercentPerOrigin int                 `toml:"per_origin" doc:"percent of the servers that one member may call bad; one that calls more so is not heard" min:"1" max:"100"`
	MaxBadPercent          int                 `toml:"most_bad" doc:"percent of the servers that may be bad by the word of others" min:"1" max:"100"`
	MaxFactsPerOrigin      int                 `toml:"facts" doc:"facts of one member held at most" min:"1" max:"4096"`
	MaxBytesPerSecond      tomlconfig.Bytes    `toml:"rate" doc:"bytes a second that this member sends of them, at most" min:"1KiB" max:"64MiB"`
	MaxClockSkew           tomlconfig.Duration `toml:"ahead" doc:"how far ahead of this clock another's stamp may be" min:"100ms" max:"1h"`
	SnapshotPath           string              `toml:"snapshot" doc:"file that the facts are kept in, so that a restart comes back with them; empty: none"`
	SnapshotInterval       tomlconfig.Duration `toml:"snapshot_every" doc:"how often it is written" min:"200ms" max:"10m"`
	ClockOffset            tomlconfig.Duration `toml:"clock_offset" doc:"laboratory only: how far this member's clock is taken to be ahead"`
}

// Budgets holds the table [fleet.budgets], which configures the division of tenants' quotas among the live members by
// leases.
type Budgets struct {
	Enabled         bool                `toml:"enabled" doc:"whether tenants' quotas are divided among the live members by leases, in place of even parts"`
	Voters          []string            `toml:"voters" doc:"ids of the members that keep the ledger by Raft: three or five, the same list at all"`
	Directory       string              `toml:"dir" doc:"folder for a voter's part of the ledger; it has to outlive the process"`
	Quotas          []string            `toml:"wholes" doc:"tenant=requests a second, in place of the platform's quota of that tenant"`
	RetryQuota      float64             `toml:"retries" doc:"further attempts a second of the whole fleet; 0 leaves each member those that its answers earn"`
	FloorPercent    int                 `toml:"floor" doc:"percent of each whole set aside, in even parts, for members that reach no majority of the voters" min:"1" max:"90"`
	LeaseDuration   tomlconfig.Duration `toml:"lease" doc:"how long a lease holds from when it was asked for" min:"300ms" max:"5m"`
	MaxDriftPercent int                 `toml:"drift" doc:"percent by which any member's clock may run fast or slow" min:"1" max:"20"`
	ClockRate       float64             `toml:"clock_rate" doc:"laboratory only: seconds that this member's clock counts in one"`
}

// DefaultSection returns the default settings. The settings of the gossip are memberlist's for a LAN.
func DefaultSection() *Section {
	return &Section{
		Bind:           "127.0.0.1:7946",
		Weight:         1,
		ProbeInterval:  tomlconfig.Duration(time.Second),
		ProbeTimeout:   tomlconfig.Duration(500 * time.Millisecond),
		SuspicionMult:  4,
		IndirectChecks: 3,
		DeadRetention:  tomlconfig.Duration(30 * time.Second),
		MaxMembers:     4096,
		Replication: Replication{
			TTL:                    tomlconfig.Duration(15 * time.Second),
			MinWitnesses:           2,
			MaxBadPercentPerOrigin: 30,
			MaxBadPercent:          20,
			MaxFactsPerOrigin:      64,
			MaxBytesPerSecond:      64 << 10,
			MaxClockSkew:           tomlconfig.Duration(10 * time.Second),
			SnapshotInterval:       tomlconfig.Duration(5 * time.Second),
		},
		Budgets: Budgets{FloorPercent: 20, LeaseDuration: tomlconfig.Duration(3 * time.Second), MaxDriftPercent: 1, ClockRate: 1},
	}
}

func init() {
	operator.Register("fleet", "The view of the fleet, kept by gossip among the brokers (SWIM). Off by default.",
		func() any { return DefaultSection() })
}
