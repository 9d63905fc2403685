package errkind

// nameOfInternal is also the name of unknown kinds, which a newer build may send.
const nameOfInternal = "internal"

var names = [numKinds]string{
	Internal:         nameOfInternal,
	Malformed:        "malformed",
	NoRoute:          "no_route",
	TooLarge:         "too_large",
	InvalidConfig:    "invalid_config",
	VersionConflict:  "version_conflict",
	NotReady:         "not_ready",
	Unavailable:      "unavailable",
	NoEndpoint:       "no_endpoint",
	Overloaded:       "overloaded",
	EndpointFailed:   "endpoint_failed",
	EndpointTimeout:  "endpoint_timeout",
	DeadlineExceeded: "deadline_exceeded",
	LockHeld:         "lock_held",
	LockLost:         "lock_lost",
	RevisionConflict: "revision_conflict",
	NotFound:         "not_found",
	HistoryGone:      "history_gone",
	RateLimited:      "rate_limited",
	OutcomeUnknown:   "outcome_unknown",
}

// Name returns the name of the kind in metrics and logs. Unknown kinds have the name of Internal.
func (k Kind) Name() string {
	if k < 0 || k >= numKinds {
		return nameOfInternal
	}
	return names[k]
}
