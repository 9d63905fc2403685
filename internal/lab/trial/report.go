// Package trial compares two builds of the system by benchmark runs. Both builds play the same deployments, days and seeds, and the
// comparison reports the paired differences of their figures with their errors.
package trial

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Group holds the figures of the requests of one class, of one zone of clients, or of all.
type Group struct {
	Name     string  `json:"name"`
	Requests int     `json:"n"`
	InAim    int     `json:"in_aim"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Worth    float64 `json:"worth"`
}

// Report is the part of the benchmark report of one day that a trial keeps.
type Report struct {
	Worth           float64        `json:"G"` // total worth of the day minus all prices
	Served          float64        `json:"served"`
	Fault           *string        `json:"fault"`
	Parts           []Figure       `json:"parts"`
	Prices          []Figure       `json:"prices"`
	BrokenRules     map[string]any `json:"breaks"` // violations by rule
	Classes         []Group        `json:"classes"`
	Zones           []Group        `json:"zones"`
	AttemptOutcomes map[string]int `json:"ends"` // number of attempts by outcome
	Hints           []string       `json:"hints"`
	MissedFloors    []any          `json:"short"` // floors of the gate that the day missed
}

// Figure is a named figure: a part of the worth with its weight, or a price with the amount that it charges for.
type Figure struct {
	Name   string
	Amount float64 // weight of a part, or amount that a price charges for
	Value  float64
}

// UnmarshalJSON reads a figure in the format of the benchmark: a list of name, amount and value.
func (f *Figure) UnmarshalJSON(text []byte) error {
	return errors.Wrap(json.Unmarshal(text, &[]any{&f.Name, &f.Amount, &f.Value}), "decode a figure")
}

// MarshalJSON writes a figure in the format of the benchmark.
func (f Figure) MarshalJSON() ([]byte, error) {
	text, err := json.Marshal([]any{f.Name, f.Amount, f.Value})
	return text, errors.Wrap(err, "encode a figure")
}

// readReport reads a report from a file.
func readReport(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the report")
	}
	report := &Report{}
	if err := json.Unmarshal(text, report); err != nil {
		return nil, errors.Wrapf(err, "decode report %s", path)
	}
	return report, nil
}

// write writes a report atomically: a reader finds the complete file or none.
func (r *Report) write(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	partial := path + ".partial"
	if err := os.WriteFile(partial, append(text, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write the report")
	}
	return errors.Wrap(os.Rename(partial, path), "write the report")
}
