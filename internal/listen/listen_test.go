package listen

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// A descriptor that is not a listening TCP socket is rejected with an error that names BALANCER_ACCEPT_FD.
func TestOpenRejectsInvalidInheritedDescriptors(t *testing.T) {
	file, err := os.Create(filepath.Join(t.TempDir(), "file"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	raw, err := near.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	unix, err := net.Listen("unix", filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close()
	other, err := unix.(*net.UnixListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	for name, fd := range map[string]int{
		"not open": 1 << 20, "a file": dup(t, int(file.Fd())), "a connection": dup(t, int(raw.Fd())),
		"a Unix socket": dup(t, int(other.Fd())),
	} {
		l, err := Open("", &fd)
		if err == nil {
			l.Close()
		}
		if err == nil || !strings.Contains(err.Error(), "BALANCER_ACCEPT_FD") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// dup duplicates a descriptor, because Open closes the one that it is given.
func dup(t *testing.T, fd int) int {
	t.Helper()
	n, err := syscall.Dup(fd)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
