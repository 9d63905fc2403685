package gossip

import (
	"time"

	"dykering/internal/operator"
	"dykering/internal/tomlconfig"
)

// Section holds the table [fleet] of the operator's file. A process reads it at its start, so a change takes effect with
// the next process. Package operator generates the documented example file from the tags toml, doc, min and max.
type Section struct {
	Enabled        bool                `toml:"enabled" doc:"whether this broker joins the fleet and keeps a view of its members by gossip"`
	ID             string              `toml:"id" doc:"this broker's ID in the fleet; empty: the name in the platform's JSON file"`
	Bind           string              `toml:"bind" doc:"IPv4 address and port on which the gossip listens, for UDP and TCP; port 0: any free port"`
	Seeds          []string            `toml:"seeds" doc:"gossip addresses of members to join through; empty: this broker waits until others join it"`
	Zone           string              `toml:"zone" doc:"zone that this broker announces to other members"`
	Tier           string              `toml:"tier" doc:"tier that this broker announces to other members"`
	Weight         int                 `toml:"weight" doc:"weight of this broker in the division of fleet-wide budgets" min:"1" max:"1000"`
	ProbeInterval  tomlconfig.Duration `toml:"probe_interval" doc:"interval at which a member probes another member" min:"50ms" max:"60s"`
	ProbeTimeout   tomlconfig.Duration `toml:"probe_timeout" doc:"time to wait for the answer to a probe" min:"10ms" max:"30s"`
	SuspicionMult  int                 `toml:"suspicion_mult" doc:"minimum duration of a suspicion in probe intervals; above 10 members, times log10 of their number" min:"1" max:"20"`
	IndirectChecks int                 `toml:"indirect_checks" doc:"number of members asked to probe a member that did not answer" min:"1" max:"16"`
	DeadRetention  tomlconfig.Duration `toml:"dead_kept" doc:"time for which a dead or departed member stays in the view" min:"1s" max:"24h"`
	MaxMembers     int                 `toml:"most" doc:"maximum number of members in the view, including this broker" min:"2" max:"100000"`
	Replication    Replication         `toml:"replication"`
	Budgets        Budgets             `toml:"budgets"`
	Relay          string              `toml:"relay" doc:"lab only: address of a fault relay through which all gossip is sent; empty: none"`
}

// Replication holds the table [fleet.replication], which configures the exchange of facts about servers among members.
type Replication struct {
	Enabled                bool                `toml:"enabled" doc:"whether members exchange facts about the servers that they ejected or that answered them"`
	TTL                    tomlconfig.Duration `toml:"ttl" doc:"lifetime of a fact unless its origin renews it" min:"1s" max:"5m"`
	MinWitnesses           int                 `toml:"witnesses" doc:"number of members that have to report a server as bad before this broker ejects it" min:"1" max:"100"`
	MaxBadPercentPerOrigin int                 `toml:"per_origin" doc:"maximum percentage of servers that a member may report as bad before these reports are ignored" min:"1" max:"100"`
	MaxBadPercent          int                 `toml:"most_bad" doc:"maximum percentage of servers that are ejected at a time because of other members' reports" min:"1" max:"100"`
	MaxFactsPerOrigin      int                 `toml:"facts" doc:"maximum number of facts stored of each member" min:"1" max:"4096"`
	MaxBytesPerSecond      tomlconfig.Bytes    `toml:"rate" doc:"maximum number of bytes per second that this member sends for the exchange of facts" min:"1KiB" max:"64MiB"`
	MaxClockSkew           tomlconfig.Duration `toml:"ahead" doc:"maximum time by which the stamp of a received fact may be ahead of this member's clock" min:"100ms" max:"1h"`
	SnapshotPath           string              `toml:"snapshot" doc:"path of the file from which a restarted process loads the facts; empty: no snapshot"`
	SnapshotInterval       tomlconfig.Duration `toml:"snapshot_every" doc:"interval at which the snapshot file is written" min:"200ms" max:"10m"`
	ClockOffset            tomlconfig.Duration `toml:"clock_offset" doc:"lab only: offset added to this member's wall clock"`
}

// Budgets holds the table [fleet.budgets], which configures the division of tenants' quotas among the live members by
// leases.
type Budgets struct {
	Enabled         bool                `toml:"enabled" doc:"whether tenants' quotas are divided among the live members by leases instead of in equal shares"`
	Voters          []string            `toml:"voters" doc:"IDs of the members that replicate the ledger by Raft, three or five, in the same order at all members"`
	Directory       string              `toml:"dir" doc:"directory for a voter's copy of the ledger; it has to survive a restart of the process"`
	Quotas          []string            `toml:"wholes" doc:"overrides of tenants' quotas in the platform's JSON file, as tenant=requests per second"`
	RetryQuota      float64             `toml:"retries" doc:"retries per second of the whole fleet; 0: only the retry budget of each member limits its retries"`
	FloorPercent    int                 `toml:"floor" doc:"percentage of each quota reserved in equal shares, which members may spend without a lease" min:"1" max:"90"`
	LeaseDuration   tomlconfig.Duration `toml:"lease" doc:"duration of a lease from the time of its request" min:"300ms" max:"5m"`
	MaxDriftPercent int                 `toml:"drift" doc:"maximum percentage by which the clock of any member may run fast or slow" min:"1" max:"20"`
	ClockRate       float64             `toml:"clock_rate" doc:"lab only: seconds that this member's clock advances in one second"`
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
	operator.Register("fleet", "View of the fleet's members, kept by gossip among the brokers (SWIM). Off by default; read only at the start.",
		func() any { return DefaultSection() })
}
