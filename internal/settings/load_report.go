package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dykering/internal/decision"
)

// maxLoadValue is a bound that no plausible value in a load report exceeds.
const maxLoadValue = 1e9

// ParseLoad parses a load report: comma-separated pairs of a name and a value. The names are those in the platform's setting
// feedback.fields; unknown names are ignored. The separator between name and value is "=" over HTTP and ":" in the
// simulator's protocol.
func ParseLoad(text, separator string) (*decision.Load, error) {
	l := &decision.Load{InFlight: -1, Queue: -1, Util: -1, Service: -1}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), separator)
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || !(v >= 0 && v <= maxLoadValue) {
			return nil, fmt.Errorf("%q is not a load report", text)
		}
		switch name {
		case "inflight":
			l.InFlight = v
		case "queue":
			l.Queue = v
		case "util":
			l.Util = v
		case "latency_ms":
			l.Service = time.Duration(v * float64(time.Millisecond))
		}
	}
	return l, nil
}
