// Package trial compares two builds of the system through the bench: the same deployments, days and seeds are played with
// both, and the differences of their figures are summed up with their errors.
package trial

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Group is the figures of the requests of one kind, of one zone of clients, or of all.
type Group struct {
	Name     string  `json:"name"`
	Requests int     `json:"n"`
	InAim    int     `json:"in_aim"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Worth    float64 `json:"worth"`
}

// Report is what is kept of the bench's report of one day.
type Report struct {
	Worth           float64        `json:"G"` // of the day, prices taken off
	Served          float64        `json:"served"`
	Fault           *string        `json:"fault"`
	Parts           []Figure       `json:"parts"`
	Prices          []Figure       `json:"prices"`
	BrokenRules     map[string]any `json:"breaks"` // of rules
	Classes         []Group        `json:"classes"`
	Zones           []Group        `json:"zones"`
	AttemptOutcomes map[string]int `json:"ends"` // how tries ended
	Hints           []string       `json:"hints"`
	MissedFloors    []any          `json:"short"` // of the gate's floors
}

// Figure is a named figure: a part of the worth with its weight, or a price with the amount that it is paid for.
type Figure struct {
	Name   string
	Amount float64 // a part's weight, or what a price is paid for
	Value  float64
}

// UnmarshalJSON reads a figure as the bench writes it: a list of name, amount and value.
func (f *Figure) UnmarshalJSON(text []byte) error {
	return errors.Wrap(json.Unmarshal(text, &[]any{&f.Name, &f.Amount, &f.Value}), "figure")
}

// MarshalJSON writes a figure as the bench does.
func (f Figure) MarshalJSON() ([]byte, error) {
	text, err := json.Marshal([]any{f.Name, f.Amount, f.Value})
	return text, errors.Wrap(err, "figure")
}

// readReport reads a report from a file.
func readReport(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	report := &Report{}
	if err := json.Unmarshal(text, report); err != nil {
		return nil, errors.Wrapf(err, "report %s", path)
	}
	return report, nil
}

// write writes a report so that a reader finds it whole or not at all.
func (r *Report) write(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	partial := path + ".partial"
	if err := os.WriteFile(partial, append(text, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.Rename(partial, path), "report")
}
