package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	historyTime = 20 * time.Second // history_s
	// watcherPause is the time that the watcher takes for the events of one answer. It is below historyTime.
	watcherPause = 19 * time.Second
	watchTime    = 70 * time.Second
	watchWait    = 2 * time.Second
	putters      = 4
	putInterval  = 100 * time.Millisecond // of one caller; together 40 puts a second, the deployment has 47 calls a second
	cellCount    = 300
	valueBytes   = 1024
)

// slowWatcher lets callers put keys of one group, and one caller watch that group from revision to revision. With the disruption, the
// watcher takes 19 s for the events of each answer before it asks for the next ones. The rule LOST forbids a 410 for a revision that
// was given to the watch less than history_s ago.
func slowWatcher(s *system, trouble bool) (violations []string, err error) {
	for _, p := range s.core {
		if err := s.start(p); err != nil {
			return nil, err
		}
	}
	if status, answer := s.call(http.MethodPost, "/cells/g1.0/replace", nil, map[string]any{"value": "first"}, 20*time.Second); status != http.StatusOK {
		return nil, fmt.Errorf("the first put was answered with %d %s", status, answer)
	}
	done := make(chan struct{})
	var workers sync.WaitGroup
	var puts atomic.Int64
	for caller := range putters {
		workers.Add(1)
		go func() {
			defer workers.Done()
			putCells(s, caller, &puts, done)
		}()
	}
	violations, err = watchGroup(s, trouble)
	close(done)
	workers.Wait()
	s.record.event("callers", "puts acknowledged", "count", fmt.Sprint(puts.Load()))
	return violations, err
}

// putCells puts unique values until done is closed.
func putCells(s *system, caller int, puts *atomic.Int64, done <-chan struct{}) {
	ticker := time.NewTicker(putInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		value := fmt.Sprintf("%d-%d-", caller, number)
		path := fmt.Sprintf("/cells/g1.%d/replace", (number*putters+caller)%cellCount)
		status, _ := s.call(http.MethodPost, path, nil, map[string]any{"value": value + strings.Repeat("x", valueBytes-len(value))}, 3*time.Second)
		if status == http.StatusOK {
			puts.Add(1)
		}
	}
}

// watchGroup watches the group from its present revision on, and returns the answers 410 that the rule forbids.
func watchGroup(s *system, trouble bool) (violations []string, err error) {
	after, given := uint64(0), time.Now()
	for began := time.Now(); time.Since(began) < watchTime; {
		asked := time.Now()
		path := fmt.Sprintf("/watch/g1.?after=%d&wait_ms=%d", after, watchWait.Milliseconds())
		status, text := s.watch(path)
		var answer struct {
			Events   []struct{ Revision uint64 }
			Revision uint64
		}
		s.record.event("watcher", "answer", "after", fmt.Sprint(after), "given_ms_ago", fmt.Sprint(asked.Sub(given).Milliseconds()),
			"status", fmt.Sprint(status))
		switch {
		case status == http.StatusGone && asked.Sub(given) < historyTime:
			return []string{fmt.Sprintf("LOST: a watch from revision %d, which was given to it %v ago, is answered 410", after,
				asked.Sub(given).Round(time.Millisecond))}, nil
		case status != http.StatusOK:
			return nil, fmt.Errorf("a watch was answered with %d %s", status, text)
		}
		if err := json.Unmarshal(text, &answer); err != nil {
			return nil, err
		}
		after, given = answer.Revision, time.Now()
		s.record.event("watcher", "is given", "events", fmt.Sprint(len(answer.Events)), "revision", fmt.Sprint(after))
		if trouble {
			time.Sleep(watcherPause)
		}
	}
	return violations, nil
}

// watch sends a watch call to one control process after another until one answers it with less than 500, other than 408 and 429.
func (s *system) watch(path string) (status int, answer []byte) {
	client := &http.Client{Timeout: watchWait + time.Second}
	for turn := range 10 {
		status, answer = callWith(client, http.MethodGet, s.core[turn%len(s.core)].public, path, nil, nil)
		if status > 0 && status < 500 && status != 408 && status != 429 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status, answer
}
