package membership

// Reason says why a member's state changed.
type Reason string

// The reasons. memberlist suspects a member only when its direct probe and the indirect ones through others failed,
// and declares it dead when the suspicion was not refuted in time.
const (
	Joined    Reason = "joined"
	Probes    Reason = "direct and indirect probes failed"
	Expired   Reason = "suspicion not refuted in time"
	Refuted   Reason = "refuted with a newer incarnation"
	Returned  Reason = "came back with a newer incarnation"
	Restarted Reason = "a new process under the same id"
	Said      Reason = "left"
	Updated   Reason = "told new meta"
	Forgotten Reason = "gone for longer than it is remembered"
)

// Change is one change of the view.
type Change struct {
	Member Member // as it is after the change
	From   State  // before it; the same as Member.State for a member that is new or forgotten
	Reason Reason
	Number uint64 // of the view after it
}

// transition names a change from what is held to what is observed, or says there is none.
func transition(m *Member, o Observation, restarted bool) (Reason, bool) {
	newer := o.Incarnation > m.Incarnation
	switch {
	case restarted && !o.State.gone():
		return Restarted, true
	case m.State == o.State && newer && o.State == Alive:
		return Refuted, true // a suspicion that this view had not heard of yet
	case m.State == o.State:
		if m.Meta != o.Meta || m.Addr != o.Addr || newer {
			return Updated, true
		}
		return "", false
	case o.State == Suspect:
		return Probes, m.State == Alive || newer
	case o.State == Dead:
		return Expired, true
	case o.State == Left:
		return Said, true
	case m.State == Suspect: // and alive now
		return Refuted, true
	}
	return Returned, true // alive from dead or left
}
