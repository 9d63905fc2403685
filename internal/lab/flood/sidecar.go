package flood

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"text/template"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/loopback"
)

// Sidecar is a sidecar process with one endpoint and a stand-in for discovery, which run in the calling process.
type Sidecar struct {
	Address, ControlAddress string

	command             *exec.Cmd
	ended               chan struct{}
	endpoint, discovery *http.Server
}

// sidecarSettings is the template of the platform's file of the sidecar.
var sidecarSettings = template.Must(template.New("sidecar").Parse(`{"name":"n0","listen":"{{.Listen}}","control":"{{.Control}}",
"discovery":"{{.Discovery}}","seed":"a1","limits":{"cores":1,"memory_mb":{{.Limits.MemoryMB}},"sockets":{{.Limits.FileDescriptors}}},
"settings":{"allowed":{"connectTimeout":2000000},"discovery":"push","instances":1,
"services":[{"name":"read","aim":1000000,"deadline":3000000,"effect":"read_like","gain":1},
{"name":"write","aim":1000000,"deadline":3000000,"effect":"non_idempotent","gain":1}],
"tiers":["front"],"zones":["z"],"models":["m"]}}
`))

// StartSidecar starts a sidecar with a program, and waits for nothing. The caller must close it.
func StartSidecar(program localprocess.Program, directory string, limits localprocess.Limits) (*Sidecar, error) {
	s := &Sidecar{Address: loopback.Address(), ControlAddress: loopback.Address(), ended: make(chan struct{})}
	endpointListener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	s.endpoint = serveOn(endpointListener, func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, sidecarBodyBytes)) })
	discoveryListener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	s.discovery = serveOn(discoveryListener, func(w http.ResponseWriter, r *http.Request) {
		const list = `{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":%q,"az":"z","model":"m","state":"Ready","capacity_hint":1}]}`
		fmt.Fprintf(w, list+"\n", endpointListener.Addr())
		_ = http.NewResponseController(w).Flush() // fails only if the sidecar has gone
		if r.URL.Query().Has("follow") {
			<-r.Context().Done()
		}
	})
	var text bytes.Buffer
	if err := sidecarSettings.Execute(&text, map[string]any{
		"Listen": s.Address, "Control": s.ControlAddress, "Discovery": discoveryListener.Addr(), "Limits": limits,
	}); err != nil {
		return nil, err
	}
	file := filepath.Join(directory, "sidecar.json")
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		return nil, err
	}
	return s, s.start(program, file)
}

// start starts the process with a settings file.
func (s *Sidecar) start(program localprocess.Program, file string) error {
	s.command = exec.Command(program.Command[0], append(program.Command[1:len(program.Command):len(program.Command)], "run", "--config", file)...)
	s.command.Env = append(os.Environ(), program.Env...)
	s.command.Stdout, s.command.Stderr = io.Discard, io.Discard
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.command.Start(); err != nil {
		return err
	}
	go func() {
		defer close(s.ended)
		_ = s.command.Wait() // it is killed at the end
	}()
	return nil
}

func serveOn(listener net.Listener, handler http.HandlerFunc) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: requestTimeout}
	go server.Serve(listener)
	return server
}

// PID returns the process id.
func (s *Sidecar) PID() int { return s.command.Process.Pid }

// HasEnded reports whether the process has exited.
func (s *Sidecar) HasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Close kills the process and closes its stand-ins.
func (s *Sidecar) Close() {
	_ = s.command.Process.Kill() // it may have exited already
	<-s.ended
	s.endpoint.Close()
	s.discovery.Close()
}

// ForClients is the listener of a sidecar for clients.
func (s *Sidecar) ForClients() Target {
	header := "X-Txn: f\r\nX-Lane: write\r\nX-Remaining: 2000m\r\n"
	request := httpRequest{method: "POST", path: "/f/", header: header, bodyBytes: sidecarBodyBytes}
	return httpTarget("sidecar", s.Address, request, func() bool {
		return sidecarAnswers("http://" + s.Address + "/ordinary")
	})
}

// ForOperators is the control address of a sidecar.
func (s *Sidecar) ForOperators() Target {
	request := httpRequest{method: "POST", path: "/-/resume?", bodyBytes: controlBodyBytes}
	return httpTarget("sidecar-control", s.ControlAddress, request, func() bool {
		return isAnswered("GET", "http://"+s.ControlAddress+"/-/ready", "")
	})
}

// lastRequest is the number of the last ordinary request to a sidecar, each of which has an id of its own.
var lastRequest atomic.Int64

// sidecarAnswers sends one request to a sidecar and reports whether it was answered with 200.
func sidecarAnswers(url string) bool {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	request.Header = http.Header{"X-Txn": {fmt.Sprint("ordinary-", lastRequest.Add(1))}, "X-Lane": {"read"}, "X-Remaining": {"1900m"}}
	response, err := ordinaryClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
