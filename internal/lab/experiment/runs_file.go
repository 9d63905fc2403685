package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// runsHeader is the first line of a file of runs.
type runsHeader struct {
	Experiment string `json:"experiment"`
	Digest     string `json:"digest"` // see Experiment.digest
}

// RunsFile is the name of the file of runs in a folder of results. After a header each line is a Run.
const RunsFile = "runs.jsonl"

// readRunsFile reads a file of runs up to its last complete line.
func readRunsFile(path string) (h runsHeader, runs []Run, err error) {
	f, err := os.Open(path)
	if err != nil {
		return h, nil, err
	}
	defer f.Close()
	in := bufio.NewReader(f)
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			if n == 1 {
				return h, nil, fmt.Errorf("%s is not a file of runs: it has no header line", path)
			}
			return h, runs, nil // a last line without a newline is incomplete
		}
		if err != nil {
			return h, nil, err
		}
		var r Run
		if n == 1 {
			err = json.Unmarshal(line, &h)
		} else if err = json.Unmarshal(line, &r); err == nil && r.Result == nil {
			err = errors.New("the run has no result")
		}
		if err != nil {
			return h, nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		if n > 1 {
			runs = append(runs, r)
		}
	}
}

// rewriteRunsFile replaces a file of runs atomically and returns it open for appending.
func rewriteRunsFile(path string, h runsHeader, runs []Run) (f *os.File, err error) {
	next := path + ".new"
	f, err = os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	line, err := json.Marshal(h)
	if err == nil {
		_, err = f.Write(append(line, '\n'))
	}
	for _, r := range runs {
		err = errors.Join(err, appendRun(f, r))
	}
	if err = errors.Join(err, f.Sync()); err == nil {
		err = os.Rename(next, path)
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// appendRun appends a run to a file of runs.
func appendRun(f *os.File, r Run) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = f.Write(append(line, '\n'))
	return err
}

// ReadRuns reads the name of the experiment and its runs from a folder of results.
func ReadRuns(dir string) (name string, runs []Run, err error) {
	h, runs, err := readRunsFile(filepath.Join(dir, RunsFile))
	return h.Experiment, runs, err
}
