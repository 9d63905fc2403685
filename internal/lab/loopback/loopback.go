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
	// The first port handed out.
	firstPort = 20000
	// The number of ports handed out in turn.
	portCount = 40000
)

var handedOut atomic.Uint32

// Host is an address of this process alone. A process id has at most 22 bits (the kernel's
// PID_MAX_LIMIT) and 127.0.0.0/8 has 24 bits for hosts, so no two processes share one; a connection
// without a bind comes from 127.0.0.1.
func Host() string {
	n := uint32(os.Getpid())<<2 | 2
	return fmt.Sprintf("127.%d.%d.%d", n>>16&0xff, n>>8&0xff, n&0xff)
}

// Address returns an address that is not in use, for TCP and UDP alike: for a process that is
// started with it, or to listen on again after a pause. Addresses are handed out in turn and repeat
// after 40,000. They are not tested by listening: a child that is just being started holds a copy
// of the listening socket until its exec.
func Address() string {
	for {
		if port := firstPort + int(handedOut.Add(1)%portCount); !cachedWildcardPorts()[port] {
			return fmt.Sprintf("%s:%d", Host(), port)
		}
	}
}

// cachedWildcardPorts are the ports that something on this machine listens on at all addresses, by
// proc(5); none where that cannot be read.
var cachedWildcardPorts = sync.OnceValue(wildcardPorts)

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

// Listen listens at an address of Address.
func Listen() (l *net.TCPListener, err error) {
	for range portCount { // some may be held by what an earlier process with this id has left
		var got net.Listener
		if got, err = net.Listen("tcp4", Address()); err == nil {
			return got.(*net.TCPListener), nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return nil, err
}

const (
	retryInterval = 5 * time.Millisecond
	retryTimeout  = 2 * time.Second
)

// Relisten listens at an address that this process has just released. A child that is being started
// holds a copy of the closed socket until its exec.
func Relisten(address string) (l net.Listener, err error) {
	for end := time.Now().Add(retryTimeout); ; time.Sleep(retryInterval) {
		l, err = net.Listen("tcp4", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, err
		}
	}
}
