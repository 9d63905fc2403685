package sidecar

import (
	"fmt"
	"io"

	"go.uber.org/zap"

	"dykering/internal/logs"
	"dykering/internal/operator"
	"dykering/internal/validation"
)

// Generations are the operator's files that have been taken, one after another, and what follows from the last one.
// One goroutine uses it.
type Generations struct {
	path   string // empty without a file
	getenv func(string) (string, bool)
	now    *operator.File
	number int // of the one that is in force; 0 for the defaults
	log    *logs.Log
}

// Start takes the first generation, and makes the log that it asks for.
func Start(path string, getenv func(string) (string, bool), out io.Writer) (*Generations, error) {
	g := &Generations{path: path, getenv: getenv, now: operator.Defaults()}
	if path != "" {
		f, wrong := operator.Load(path, getenv)
		if len(wrong) > 0 {
			return nil, validation.Join(wrong)
		}
		g.now, g.number = f, 1
	}
	g.log = logs.New(out, operator.Section[logs.Section](g.now, "log"))
	g.log.Generation(g.number)
	return g, nil
}

// Close ends the log.
func (g *Generations) Close() { g.log.Close() }

// Reload reads the file again. It is taken whole, or the generation before it stays.
func (g *Generations) Reload() {
	if g.path == "" {
		return
	}
	f, wrong := operator.Load(g.path, g.getenv)
	if len(wrong) > 0 {
		g.log.Warn("operator.refused", zap.String("fault", wrong[0].Error()), zap.Int("faults", len(wrong)))
		return
	}
	changes := operator.Changes(g.now, f)
	g.now = f
	g.number++
	g.log.Set(operator.Section[logs.Section](f, "log"))
	g.log.Generation(g.number)
	told := make([]string, len(changes))
	for i, c := range changes {
		told[i] = fmt.Sprintf("%s: %s -> %s", c.Key, c.From, c.To)
	}
	g.log.Info("operator.taken", zap.Strings("changes", told))
}
