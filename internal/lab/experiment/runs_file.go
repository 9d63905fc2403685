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

// head is the first line of a file of runs.
type head struct {
	Experiment string `json:"experiment"`
	Digest     string `json:"digest"` // of all that makes the runs what they are
}

// RunsFile is the name of the file, in a folder of results, that has each run as a line.
const RunsFile = "runs.jsonl"

// read reads a file of runs, up to the last line that is whole.
func read(path string) (h head, runs []Run, err error) {
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
				return h, nil, fmt.Errorf("%s: not a file of runs", path)
			}
			return h, runs, nil // a line without an end was cut off
		}
		if err != nil {
			return h, nil, err
		}
		var r Run
		if n == 1 {
			err = json.Unmarshal(line, &h)
		} else if err = json.Unmarshal(line, &r); err == nil && r.Result == nil {
			err = errors.New("no result")
		}
		if err != nil {
			return h, nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		if n > 1 {
			runs = append(runs, r)
		}
	}
}

// rewrite writes a file of runs, whole or not at all, and opens it for more.
func rewrite(path string, h head, runs []Run) (f *os.File, err error) {
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
		err = errors.Join(err, keep(f, r))
	}
	if err = errors.Join(err, f.Sync()); err == nil {
		err = os.Rename(next, path)
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func keep(f *os.File, r Run) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = f.Write(append(line, '\n'))
	return err
}

// ReadRuns reads the runs of a folder of results.
func ReadRuns(dir string) (name string, runs []Run, err error) {
	h, runs, err := read(filepath.Join(dir, RunsFile))
	return h.Experiment, runs, err
}
