package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dykering/internal/decision"
)

// maxLoadValue is more than any value of a load report can be.
const maxLoadValue = 1e9

// ParseLoad reads a load report: pairs of a name (of the setting feedback.fields) and a value, separated by commas. The
// separator within a pair differs between sockets and the simulator's wire. Unknown names are passed over.
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
