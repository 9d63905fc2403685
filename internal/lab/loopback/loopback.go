// Package loopback hands out addresses on loopback that nobody else takes: neither another process that asks for any
// free port at that moment, nor a later test of the same process. A port that was found free and closed again may be
// anybody's by the time it is bound, and what still calls an address of an earlier test may reach a later one's.
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
	first = 20000 // port that is handed out
	most  = 40000 // ports
)

var next atomic.Uint32

// Host is this process's own address. A process id has at most 22 bits (kernel's PID_MAX_LIMIT) and 127.0.0.0/8 has 24
// bits for hosts, so that no two processes share one; what connects without a bind comes from 127.0.0.1.
func Host() string {
	n := uint32(os.Getpid())<<2 | 2
	return fmt.Sprintf("127.%d.%d.%d", n>>16&0xff, n>>8&0xff, n&0xff)
}

// Address is one that nobody has, for TCP and UDP alike: for a process that is started with it, or for what is to
// listen there anew after a pause. Addresses are handed out in turn, and come again after 40,000. It is not tried by
// listening there: a child that is just being started holds a copy of the listening socket until its exec.
func Address() string {
	for {
		if port := first + int(next.Add(1)%most); !wildcards()[port] {
			return fmt.Sprintf("%s:%d", Host(), port)
		}
	}
}

// wildcards are the ports that something on this machine listens on at all addresses, as proc(5) tells: none where
// that cannot be read.
var wildcards = sync.OnceValue(listened)

func listened() map[int]bool {
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

// Listen listens at such an address.
func Listen() (l *net.TCPListener, err error) {
	for range most { // some may be held by what an earlier process with this id has left
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
	again  = 5 * time.Millisecond
	within = 2 * time.Second
)

// ListenAgain listens at an address that was this process's until a moment ago. A child that is just being started
// holds a copy of the socket that was closed, until its exec.
func ListenAgain(address string) (l net.Listener, err error) {
	for end := time.Now().Add(within); ; time.Sleep(again) {
		l, err = net.Listen("tcp4", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, err
		}
	}
}
