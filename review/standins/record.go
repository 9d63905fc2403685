package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the file record.txt of a case.
type recorder struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	writer *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// event writes one line: the milliseconds since the start, who, what, and pairs of names and values.
func (r *recorder) event(who, what string, pairs ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%7d %-8s %s", time.Since(r.began).Milliseconds(), who, what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(r.writer, " %s=%s", pairs[i], strings.ReplaceAll(pairs[i+1], "\n", " "))
	}
	fmt.Fprintln(r.writer)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush() // the record is for the reader; the exit status tells the result
	_ = r.file.Close()
}
