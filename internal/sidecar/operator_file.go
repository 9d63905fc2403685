package sidecar

import (
	"fmt"
	"io"

	"go.uber.org/zap"

	"dykering/internal/logs"
	"dykering/internal/operator"
	"dykering/internal/validation"
)

// logSection is the name of the log's table in the operator's file.
const logSection = "log"

// operatorFile holds the current generation of the operator's file, and the log that it configures. It is not safe for
// concurrent use.
type operatorFile struct {
	path       string // empty if there is no file
	getenv     func(string) (string, bool)
	current    *operator.File
	generation int // number of files loaded; 0 means the defaults
	log        *logs.Log
}

// loadOperatorFile loads the first generation of the file, and creates the log that it configures.
func loadOperatorFile(path string, getenv func(string) (string, bool), out io.Writer) (*operatorFile, error) {
	f := &operatorFile{path: path, getenv: getenv, current: operator.Defaults()}
	if path != "" {
		loaded, errs := operator.Load(path, getenv)
		if len(errs) > 0 {
			return nil, validation.Join(errs)
		}
		f.current, f.generation = loaded, 1
	}
	f.log = logs.New(out, operator.Section[logs.Section](f.current, logSection))
	f.log.Generation(f.generation)
	return f, nil
}

// close closes the log.
func (f *operatorFile) close() { f.log.Close() }

// reload reads the file again and applies it. If the file has any error, the current generation stays in force.
func (f *operatorFile) reload() {
	if f.path == "" {
		return
	}
	loaded, errs := operator.Load(f.path, f.getenv)
	if len(errs) > 0 {
		f.log.Warn("operator.refused", zap.String("fault", errs[0].Error()), zap.Int("faults", len(errs)))
		return
	}
	changes := operator.Changes(f.current, loaded)
	f.current = loaded
	f.generation++
	f.log.Set(operator.Section[logs.Section](loaded, logSection))
	f.log.Generation(f.generation)
	lines := make([]string, len(changes))
	for i, change := range changes {
		lines[i] = fmt.Sprintf("%s: %s -> %s", change.Key, change.From, change.To)
	}
	f.log.Info("operator.taken", zap.Strings("changes", lines))
}
