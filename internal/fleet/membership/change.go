package membership

// Reason is the cause of a member's change. Its text is written to the log.
type Reason string

// The reasons for a change. memberlist suspects a member only after its direct probe and the indirect probes through
// other members have failed, and declares the member dead when the suspicion is not refuted in time.
const (
	Joined            Reason = "joined"
	ProbesFailed      Reason = "direct and indirect probes failed"
	SuspicionExpired  Reason = "suspicion not refuted in time"
	Refuted           Reason = "refuted with a newer incarnation"
	Returned          Reason = "came back with a newer incarnation"
	Restarted         Reason = "a new process under the same id"
	LeaveAnnounced    Reason = "left"
	MetaChanged       Reason = "metadata changed"
	RetentionExceeded Reason = "departed for longer than the retention"
)

// Change describes one change of a member in a view.
type Change struct {
	Member     Member // Member is the member after the change.
	From       State  // From is the previous state; it equals Member.State if the member was added or removed.
	Reason     Reason
	ViewNumber uint64 // ViewNumber is the number of the view after the change.
}

// transition returns the reason for the change from the held state of a member to its observed state, or false if
// nothing changes. restarted reports that the observed process started after the held one.
func transition(held *Member, observed Observation, restarted bool) (Reason, bool) {
	newer := observed.Incarnation > held.Incarnation
	switch {
	case restarted && !observed.State.hasDeparted():
		return Restarted, true
	case held.State == observed.State && newer && observed.State == Alive:
		return Refuted, true // the member refuted a suspicion that this view never observed
	case held.State == observed.State:
		changed := held.Meta != observed.Meta || held.Addr != observed.Addr || newer
		return MetaChanged, changed
	case observed.State == Suspect:
		return ProbesFailed, held.State == Alive || newer
	case observed.State == Dead:
		return SuspicionExpired, true
	case observed.State == Left:
		return LeaveAnnounced, true
	case held.State == Suspect:
		return Refuted, true
	}
	return Returned, true
}
