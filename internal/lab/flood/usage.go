package flood

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Usage is what a process takes up, or the highest values of several readings.
type Usage struct {
	ResidentBytes int64
	// UnreadBytes is the data that its sockets have received and the process has not read. It counts as memory of the process.
	UnreadBytes int64
	MemoryBytes int64 // both
	Sockets     int
	ReadAt      time.Time // of a reading, or of the one with the most memory
}

// String returns the values in units for people.
func (u Usage) String() string {
	const mebi = 1 << 20
	return fmt.Sprintf("%d MiB (%d resident, %d unread at their highest), %d sockets",
		u.MemoryBytes/mebi, u.ResidentBytes/mebi, u.UnreadBytes/mebi, u.Sockets)
}

func (u Usage) highest(other Usage) Usage {
	readAt := u.ReadAt
	if other.MemoryBytes > u.MemoryBytes {
		readAt = other.ReadAt
	}
	return Usage{
		ReadAt: readAt, ResidentBytes: max(u.ResidentBytes, other.ResidentBytes), UnreadBytes: max(u.UnreadBytes, other.UnreadBytes),
		MemoryBytes: max(u.MemoryBytes, other.MemoryBytes), Sockets: max(u.Sockets, other.Sockets),
	}
}

// readUsage reads what a process takes up from /proc.
func readUsage(pid int) (Usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	resident, err := residentBytes(directory)
	if err != nil {
		return Usage{}, err
	}
	sockets, err := socketInodes(directory)
	if err != nil {
		return Usage{}, err
	}
	unread, err := unreadBytes(directory, sockets)
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		ResidentBytes: resident, UnreadBytes: unread, MemoryBytes: resident + unread, Sockets: len(sockets), ReadAt: time.Now(),
	}, nil
}

// residentBytes reads the resident memory of a process.
func residentBytes(directory string) (int64, error) {
	text, err := os.ReadFile(filepath.Join(directory, "statm"))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.Errorf("statm: %q", text)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// socketInodes returns the inodes of the open sockets of a process.
func socketInodes(directory string) (map[string]bool, error) {
	descriptors, err := os.ReadDir(filepath.Join(directory, "fd"))
	if err != nil {
		return nil, err
	}
	inodes := map[string]bool{}
	for _, descriptor := range descriptors {
		link, err := os.Readlink(filepath.Join(directory, "fd", descriptor.Name()))
		if err != nil {
			continue // closed meanwhile
		}
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, nil
}

// Columns of /proc/net/tcp, and the state of a listening socket, whose queue counts connections.
const (
	stateColumn, queuesColumn, inodeColumn = 3, 4, 9
	listening                              = "0A"
)

// unreadBytes returns the sum of the receive queues of sockets.
func unreadBytes(directory string, inodes map[string]bool) (int64, error) {
	text, err := os.ReadFile(filepath.Join(directory, "net", "tcp"))
	if err != nil {
		return 0, err
	}
	var sum int64
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) <= inodeColumn || fields[stateColumn] == listening || !inodes[fields[inodeColumn]] {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesColumn], ":")
		bytes, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, errors.Wrap(err, "receive queue")
		}
		sum += bytes
	}
	return sum, nil
}

// sampleInterval is the time between two readings of a Monitor.
const sampleInterval = 10 * time.Millisecond

// Monitor reads the usage of a process until it is stopped.
type Monitor struct {
	stopped chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	highest  Usage
	readings int
}

// Watch starts a monitor of a process. A process that has ended is not read.
func Watch(pid int) *Monitor {
	m := &Monitor{stopped: make(chan struct{})}
	m.running.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			m.read(pid)
			select {
			case <-m.stopped:
				return
			case <-ticker.C:
			}
		}
	})
	return m
}

func (m *Monitor) read(pid int) {
	usage, err := readUsage(pid)
	if err != nil {
		return // the process has ended, which its owner notices
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highest = m.highest.highest(usage)
	m.readings++
}

// Readings returns the number of readings so far.
func (m *Monitor) Readings() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readings
}

// Stop stops the monitor and returns the highest values that it read.
func (m *Monitor) Stop() Usage {
	close(m.stopped)
	m.running.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.highest
}
