package decision

import (
	"fmt"
	"math"
)

// snapshotField is one value of a snapshot with its JSON key and its upper bound. The lower bound is 0.
type snapshotField struct {
	key        string
	value      float64
	upperBound float64
}

// maxFieldValue is the upper bound of a field that has no tighter one. It excludes infinite and absurd
// values.
const maxFieldValue = math.MaxFloat32

// validate returns an error that names the first invalid value, or the first difference from the given
// classes.
func (s *Snapshot) validate(classes []class) error {
	fields, err := s.classFields(classes)
	if err != nil {
		return err
	}
	fields = append(fields, s.tierFields()...)
	for _, list := range []struct {
		key   string
		means []MeanSnapshot
	}{{"kinds", s.KindLatency}, {"services", s.KindServiceTime}} {
		for i, mean := range list.means {
			meanFields, err := mean.fields(fmt.Sprintf("%s[%d]", list.key, i))
			if err != nil {
				return err
			}
			fields = append(fields, meanFields...)
		}
	}
	for i := range s.Endpoints {
		endpointFields, err := s.Endpoints[i].fields(fmt.Sprintf("endpoints[%d].", i))
		if err != nil {
			return err
		}
		fields = append(fields, endpointFields...)
	}
	for i, tokens := range s.TenantTokens {
		fields = append(fields, snapshotField{fmt.Sprintf("shares[%d]", i), math.Abs(tokens), maxFieldValue})
	}
	for _, f := range fields {
		if !(f.value >= 0 && f.value <= f.upperBound) { // false for NaN too
			return fmt.Errorf("snapshot: %s: %v is not between 0 and %v", f.key, f.value, f.upperBound)
		}
	}
	return nil
}

// tierFields returns the fields that describe the tier as a whole.
func (s *Snapshot) tierFields() []snapshotField {
	fields := []snapshotField{
		{"errors", s.ErrorRate, 1},
		{"strays", s.MissingShare, 1},
		{"budget", s.RetryTokens, maxFieldValue},
		{"repeatSpent", s.MeanRetryElapsed, maxFieldValue},
	}
	for _, rate := range []struct {
		key string
		RateSnapshot
	}{
		{"rate", s.BaseLoad},
		{"spare", s.SlackLoad},
		{"served", s.AnswerRate},
		{"asked", s.RequestRate},
		{"warm", s.WarmSends},
	} {
		fields = append(fields,
			snapshotField{rate.key + ".now", rate.Current, maxFieldValue},
			snapshotField{rate.key + ".peak", rate.Peak, maxFieldValue})
	}
	return fields
}

// classFields returns the fields of the classes. The classes must be those of this process, in the same
// order.
func (s *Snapshot) classFields(classes []class) (fields []snapshotField, err error) {
	if len(s.Classes) != len(classes) {
		return nil, fmt.Errorf("snapshot: it has %d classes, the settings have %d", len(s.Classes), len(classes))
	}
	for i, c := range s.Classes {
		if c.Name != classes[i].Name {
			return nil, fmt.Errorf("snapshot: classes[%d] is %q, in the settings it is %q", i, c.Name, classes[i].Name)
		}
		key, maxRemaining := fmt.Sprintf("classes[%d].", i), maxFieldValue
		if d := classes[i].Deadline; d > 0 {
			maxRemaining = d.Seconds() // a longer remaining time would make every request look like a late retry
		}
		if c.Windows > 0 && !(c.MeanLatency > 0 && c.BaseLatency > 0 && c.UsualLatency > 0 && c.TailRatio > 0) {
			return nil, fmt.Errorf("snapshot: classes[%d]: windows is %d, but a latency is not above 0", i, c.Windows)
		}
		fields = append(fields,
			snapshotField{key + "windows", float64(c.Windows), maxFieldValue},
			snapshotField{key + "mean", c.MeanLatency, maxFieldValue},
			snapshotField{key + "base", c.BaseLatency, maxFieldValue},
			snapshotField{key + "usual", c.UsualLatency, maxFieldValue},
			snapshotField{key + "tail", c.TailRatio, maxFieldValue},
			snapshotField{key + "maxLeft", c.MaxRemaining.Seconds(), maxRemaining},
			snapshotField{key + "asked", c.Requests, maxFieldValue},
			snapshotField{key + "good", c.OnTime, maxFieldValue})
	}
	return fields, nil
}

// fields returns the fields of an endpoint.
func (e *EndpointSnapshot) fields(key string) ([]snapshotField, error) {
	latencyRatio, err := e.LatencyRatio.fields(key + "pace")
	if err != nil {
		return nil, err
	}
	serviceTime, err := e.ServiceTime.fields(key + "service")
	if err != nil {
		return nil, err
	}
	fields := append(latencyRatio, serviceTime...)
	return append(fields,
		snapshotField{key + "errors", e.ErrorRate, 1},
		snapshotField{key + "losses", e.LossRate, 1},
		snapshotField{key + "ramped", e.SlowStartAge.Seconds(), maxFieldValue}), nil
}

// fields returns the fields of a mean. The mean must be positive if its count is.
func (m MeanSnapshot) fields(key string) ([]snapshotField, error) {
	if m.Count > 0 && !(m.Mean > 0) {
		return nil, fmt.Errorf("snapshot: %s.mean: %v is not above 0", key, m.Mean)
	}
	return []snapshotField{{key + ".mean", m.Mean, maxFieldValue}, {key + ".n", m.Count, maxFieldValue}}, nil
}
