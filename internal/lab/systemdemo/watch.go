package systemdemo

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	watchedGroup = "demo."
	keyCount     = 3 // the writer puts the keys in turn
	watchWait    = time.Second
)

// putAndWatch puts keys until the lock has been handed over, while another caller watches their group. The watcher must see each put
// exactly once, with its value and revision.
func (c *coordination) putAndWatch(ctx context.Context, handedOver <-chan struct{}) error {
	w := &writer{coordinator: c.coordinator, revisions: map[string]uint64{}}
	if err := w.put(ctx); err != nil { // the watch needs a first revision to start from
		return err
	}
	from := w.puts[0].Revision
	last := make(chan uint64, 1) // the revision of the last put
	var seen []Change
	both, ctx := errgroup.WithContext(ctx)
	both.Go(func() error {
		for !isClosed(handedOver) {
			if err := w.put(ctx); err != nil {
				return err
			}
			pause(ctx, callPause)
		}
		last <- w.puts[len(w.puts)-1].Revision
		return w.readBack(ctx)
	})
	both.Go(func() (err error) {
		seen, err = c.watch(ctx, from, last)
		return err
	})
	if err := both.Wait(); err != nil {
		return err
	}
	if err := compare(w.puts[1:], seen); err != nil {
		return err
	}
	c.logStep("%d puts were acknowledged, and the watch has shown each of them, in order", len(seen))
	return nil
}

// watch collects the changes after a revision until it has seen the last put, whose revision it receives from last.
func (c *coordination) watch(ctx context.Context, after uint64, last <-chan uint64) (seen []Change, err error) {
	var until uint64 // 0 until the revision of the last put is known
	for until == 0 || after < until {
		changes, err := retry(ctx, func() (Changes, error) {
			return c.coordinator.WatchGroup(ctx, watchedGroup, after, watchWait)
		})
		if err != nil {
			return seen, errors.Wrap(err, "watch")
		}
		if changes.Revision < after {
			return seen, errors.Errorf("the watch after revision %d is answered up to %d", after, changes.Revision)
		}
		seen = append(seen, changes.Events...)
		after = changes.Revision
		select {
		case until = <-last:
		default:
		}
	}
	return seen, nil
}

// compare returns an error if the watched changes differ from the puts.
func compare(puts, seen []Change) error {
	for i, put := range puts {
		if i >= len(seen) {
			return errors.Errorf("the watch has missed %v", put)
		}
		if seen[i] != put {
			return errors.Errorf("the watch has shown %v where %v was put", seen[i], put)
		}
	}
	if len(seen) > len(puts) {
		return errors.Errorf("the watch has shown %v, which was not put", seen[len(puts)])
	}
	return nil
}

// writer puts the keys of the watched group. No other caller writes to that group.
type writer struct {
	coordinator Coordinator
	puts        []Change          // acknowledged puts
	revisions   map[string]uint64 // current revision of each key
}

// put writes the next key and retries until the put is acknowledged.
func (w *writer) put(ctx context.Context) error {
	key := fmt.Sprint(watchedGroup, "key", len(w.puts)%keyCount)
	value := fmt.Sprint("value-", len(w.puts))
	revision, err := retry(ctx, func() (uint64, error) {
		return w.coordinator.PutKey(ctx, key, value, w.revisions[key])
	})
	if err != nil {
		return errors.Wrapf(err, "put of %s", key)
	}
	if len(w.puts) > 0 && revision <= w.puts[len(w.puts)-1].Revision {
		return errors.Errorf("a put got revision %d after %v", revision, w.puts[len(w.puts)-1])
	}
	w.revisions[key] = revision
	w.puts = append(w.puts, Change{Name: key, Value: value, Revision: revision})
	return nil
}

// readBack checks that a read returns the last put.
func (w *writer) readBack(ctx context.Context) error {
	put := w.puts[len(w.puts)-1]
	read, err := retry(ctx, func() (Change, error) { return w.coordinator.ReadKey(ctx, put.Name) })
	if err != nil {
		return errors.Wrapf(err, "read of %s", put.Name)
	}
	if read.Value != put.Value || read.Revision != put.Revision {
		return errors.Errorf("%v was put and %v was read back", put, read)
	}
	return nil
}
