package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dykering/internal/lab/loopback"
)

// While discovery is down, idle clients use up all file descriptors of a process, and further clients keep connecting. Once
// discovery is back, the process must serve requests within 6 s, the operators' limit. It must not run out of descriptors for
// accepting connections, nor for its requests to discovery.
func TestIdleClientsFillDescriptorsWhileDiscoveryIsDownAndServiceResumes(t *testing.T) {
	const sockets = 256 // the limit that writeConfiguration sets
	endpoint := startLoopbackServer(t, loopback.Address(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	place := loopback.Address()
	logs := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(logs)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	cmd := exec.Command(os.Args[0], "run", "--config", writeConfiguration(t, place))
	cmd.Env = append(os.Environ(), "BE_DYKERING=1")
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil); err != nil {
		t.Fatal(err)
	}
	loggedLine := func(logText string) string {
		text, _ := os.ReadFile(logs)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, logText) {
				return line
			}
		}
		return ""
	}
	address := ""
	for end := time.Now().Add(waitTimeout); address == ""; time.Sleep(5 * time.Millisecond) {
		if address = regexp.MustCompile(`127\.0\.0\.1:\d+`).FindString(loggedLine("process.serving")); time.Now().After(end) {
			t.Fatal("the process does not serve")
		}
	}
	// Every second client sends one request; all clients keep their connections open.
	var conns []net.Conn
	join := func(n int) {
		c, err := net.DialTimeout("tcp", address, waitTimeout)
		if err != nil {
			t.Errorf("client %d: %v", n, err)
			return
		}
		if n%2 == 0 {
			io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		conns = append(conns, c)
	}
	for n := range 2 * sockets {
		join(n)
	}
	quit := make(chan bool)
	var crowd sync.WaitGroup
	crowd.Go(func() {
		for n := 0; n < 20*sockets; n++ {
			select {
			case <-quit:
				return
			case <-time.After(time.Millisecond):
				join(n)
				conns[0].Close()
				conns = conns[1:]
			}
		}
	})
	defer func() {
		close(quit)
		crowd.Wait()
		for _, c := range conns {
			c.Close()
		}
	}()
	startLoopbackServer(t, place, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":%q,"az":"z","model":"m","state":"Ready","capacity_hint":1}]}`, endpoint)
		fmt.Fprintln(w)
		http.NewResponseController(w).Flush()
		if r.URL.Query().Has("follow") {
			<-r.Context().Done()
		}
	})
	began := time.Now()
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; n++ {
		r, _ := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
		r.Header = http.Header{"X-Txn": {fmt.Sprint("a", n)}, "X-Lane": {"read"}, "X-Remaining": {"900m"}}
		if res, err := client.Do(r); err == nil {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Since(began) > 6*time.Second {
			t.Fatalf("no request was served within %v after discovery is back", time.Since(began))
		}
		time.Sleep(5 * time.Millisecond)
	}
	if line := loggedLine("accept_failed"); line != "" {
		t.Error(line)
	}
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid)); err != nil || len(open) > sockets {
		t.Errorf("%d descriptors, %v", len(open), err)
	}
}

// startLoopbackServer starts a server at an address until the test ends, and returns its address.
func startLoopbackServer(t *testing.T, address string, serve http.HandlerFunc) string {
	t.Helper()
	l, err := loopback.Relisten(address)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: serve}
	done := make(chan bool)
	go func() {
		s.Serve(l)
		close(done)
	}()
	t.Cleanup(func() {
		s.Close()
		<-done
	})
	return l.Addr().String()
}
