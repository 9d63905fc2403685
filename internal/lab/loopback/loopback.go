package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// firstPort is the lowest port that is assigned.
	firstPort = 20000
	// portCount is the number of ports that are assigned in turn.
	portCount = 40000
)

// assigned counts the ports that were assigned.
var assigned atomic.Uint32

// Host returns a loopback address that no other live process gets. A process id has at most 22 bits (the
// kernel's PID_MAX_LIMIT), and 127.0.0.0/8 has 24 bits for hosts. The address is never 127.0.0.1, from
// which connections without a bind come.
func Host() string {
	n := uint32(os.Getpid())<<2 | 2
	return fmt.Sprintf("127.%d.%d.%d", n>>16&0xff, n>>8&0xff, n&0xff)
}

// Address returns an address that is not in use for TCP or UDP. The caller can pass it to a process that
// it starts, or listen on it several times. Ports are assigned in turn and repeat after 40,000. Address
// does not test a port by listening, because a child process that is just being started would hold a copy
// of the listening socket until its exec.
func Address() string {
	for {
		if port := firstPort + int(assigned.Add(1)%portCount); !cachedWildcardPorts()[port] {
			return fmt.Sprintf("%s:%d", Host(), port)
		}
	}
}

// cachedWildcardPorts returns the result of the first call of wildcardPorts.
var cachedWildcardPorts = sync.OnceValue(wildcardPorts)

// wildcardPorts returns the ports that are in use on all addresses of this machine, as /proc/net lists
// them. The result is empty if /proc/net cannot be read.
func wildcardPorts() map[int]bool {
	found := map[int]bool{}
	for _, file := range []string{"/proc/net/tcp", "/proc/net/tcp6", "/proc/net/udp", "/proc/net/udp6"} {
		text, _ := os.ReadFile(file)
		for line := range strings.Lines(string(text)) {
			fields := strings.Fields(line)
			if len(fields) < 2 {
				continue
			}
			host, port, ok := strings.Cut(fields[1], ":")
			if n, err := strconv.ParseUint(port, 16, 16); ok && err == nil && strings.Trim(host, "0") == "" {
				found[int(n)] = true
			}
		}
	}
	return found
}

// Listen listens at an address that Address returns.
func Listen() (l *net.TCPListener, err error) {
	for range portCount { // children of an earlier process with the same id may still hold some ports
		var listener net.Listener
		if listener, err = net.Listen("tcp4", Address()); err == nil {
			return listener.(*net.TCPListener), nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return nil, err
}

// LimitReceiveBuffer sets the size in bytes of the receive buffers of the connections that a listener accepts. Data that is not
// read then holds its sender up early.
func LimitReceiveBuffer(l *net.TCPListener, size int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
	return errors.Join(err, optionErr)
}

const (
	// retryInterval is the time between two attempts of Relisten.
	retryInterval = 5 * time.Millisecond
	// retryTimeout is how long Relisten retries.
	retryTimeout = 2 * time.Second
)

// Relisten listens at an address that this process has just released. It retries while the address is in
// use, because a child process that is being started holds a copy of the closed socket until its exec.
func Relisten(address string) (l net.Listener, err error) {
	for end := time.Now().Add(retryTimeout); ; time.Sleep(retryInterval) {
		l, err = net.Listen("tcp4", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, err
		}
	}
}
