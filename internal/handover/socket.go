package handover

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// filePrefix returns the prefix of the file names of all sockets that belong to a service name.
func filePrefix(name string) string {
	sum := sha256.Sum256([]byte(name))
	return "handover-" + hex.EncodeToString(sum[:6]) + "-"
}

// withSocketAddress calls f with the address of a socket file. If the path exceeds the length limit
// of socket addresses, the address refers to the directory by its descriptor in /proc/self/fd.
func withSocketAddress(path string, f func(*net.UnixAddr) error) error {
	if len(path) > maxSocketPath {
		dir, err := os.Open(filepath.Dir(path))
		if err != nil {
			return err
		}
		defer dir.Close()
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	}
	return f(&net.UnixAddr{Name: path, Net: "unixpacket"})
}

// isOwnUser reports whether the peer runs as the user of this process.
func isOwnUser(c *net.UnixConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var cred *syscall.Ucred
	controlErr := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	return controlErr == nil && err == nil && int(cred.Uid) == os.Geteuid()
}
