package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dykering/internal/commandline"
	"dykering/internal/lab/loopback"
	"dykering/internal/operator"
)

// waitTimeout is how long a test waits for an action or a response of a process.
const waitTimeout = 20 * time.Second

// runCommand runs a command line in this process.
func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = execute(args, &o, &e)
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// deploy/dykering.toml is the output of `dykering config default` and is valid.
func TestExampleOperatorFileNamesEveryDefault(t *testing.T) {
	const path = "../../deploy/dykering.toml"
	text, err := os.ReadFile(path)
	if _, example, _ := runCommand("config", "default"); err != nil || string(text) != example {
		t.Errorf("%s is not what `dykering config default` prints, %v", path, err)
	}
	if code, _, errOut := runCommand("check", path); code != commandline.ExitOK {
		t.Errorf("%s has errors: %s", path, errOut)
	}
}

// For each key, a misspelt name, a value of a wrong type and a value out of its bounds are reported with key and line.
func TestErrorOfEveryKeyHasItsLine(t *testing.T) {
	text := strings.Split(operator.Example(), "\n")
	keyLine := regexp.MustCompile(`^([a-z_.]+) = (.*)$`)
	limits := regexp.MustCompile(` \((\S+) to (\S+)\)$`)
	section, tried := "", 0
	for i, line := range text {
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]") + "."
		}
		m := keyLine.FindStringSubmatch(line)
		if m == nil || section == "" {
			continue
		}
		changes := map[string]string{"misspelt": m[1] + "x = " + m[2], "type": m[1] + " = 1979-05-27"}
		if b := limits.FindStringSubmatch(text[i-1]); b != nil {
			quoted := strings.Contains(m[2], `"`)
			value := func(s string) string {
				if quoted {
					return `"` + s + `"`
				}
				return s
			}
			changes["too much"] = m[1] + " = " + value("9"+b[2])
			changes["too little"] = m[1] + " = " + value(regexp.MustCompile(`^[0-9]+`).ReplaceAllString(b[1], "0"))
		}
		for name, change := range changes {
			faulty := append([]string(nil), text...)
			faulty[i] = change
			path := writeFile(t, "faulty.toml", strings.Join(faulty, "\n"))
			code, _, errOut := runCommand("check", path)
			want := fmt.Sprintf("%s:%d: %s%s", path, i+1, section, m[1])
			if code != commandline.ExitFailure || !strings.Contains(errOut, want) || strings.Count(errOut, "\n") != 1 ||
				name == "misspelt" && !strings.Contains(errOut, "is "+section+m[1]+" meant?") {
				t.Errorf("%s: exit %d, %q", change, code, errOut)
			}
			tried++
		}
	}
	if tried < 2*len(operator.Defaults().Values()) {
		t.Errorf("only %d changes for %d keys", tried, len(operator.Defaults().Values()))
	}
}

// Each command line has the expected exit code and output.
func TestCommandsGiveTheirOutputAndExitCode(t *testing.T) {
	t.Setenv("BALANCER_CONFIG", "")
	platform := writeConfiguration(t, "127.0.0.1:9")
	broken := writeFile(t, "broken.json", "{\n\"name\":\"n\",\n\"limits\":{\"cores\":0,\n\"sockets\":9}}")
	half := writeFile(t, "half.json", "{\n\"name\":")
	settings := writeFile(t, "boot.toml", "node_name = \"n\"\nip_address = \"10.0.0.1\"\ninternal_port_range = [7660,7675]\nseed_nodes = [\"10.0.0.1:80\"]\n")
	noSettings := writeFile(t, "boot.toml", "node_name = \"n\"\n")
	const route = `{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","timeout_ms":1,"service":"%s"}],"services":[{"name":"s1"}]}`
	configuration, noConfiguration := writeFile(t, "c.json", fmt.Sprintf(route, "s1")), writeFile(t, "c.json", fmt.Sprintf(route, "s2"))
	for _, tc := range []struct {
		args string
		code int
		want []string // parts of the output
	}{
		{"", commandline.ExitUsage, []string{"a command is missing", "check", "run", "completion"}},
		{"rnu", commandline.ExitUsage, []string{"rnu"}},
		{"run --confg x", commandline.ExitUsage, []string{"--confg"}},
		{"check", commandline.ExitUsage, []string{"at least 1 arg"}},
		{"config", commandline.ExitUsage, []string{"show or default"}},
		{"version extra", commandline.ExitUsage, []string{"extra"}},
		{"run", commandline.ExitFailure, []string{"BALANCER_CONFIG"}},
		{"version", commandline.ExitOK, []string{"dykering ", "file version 1"}},
		{"completion bash", commandline.ExitOK, []string{"__dykering", "complete -o"}},
		{"proxy", commandline.ExitFailure, []string{"DYKERING_NODE_FILE"}},
		{"control extra", commandline.ExitUsage, []string{"extra"}},
		{"check " + settings + " " + configuration, commandline.ExitOK, nil},
		{"check " + noSettings + " " + noConfiguration, commandline.ExitFailure, []string{"ip_address", "unknown service s2"}},
		{"check " + platform, commandline.ExitOK, nil},
		{"check " + platform + " " + broken + " " + half, commandline.ExitFailure, []string{
			broken + ":3: limits.cores", broken + ":4: limits.sockets",
			broken + ": seed", broken + ": settings: missing", half + ":2: unexpected end",
		}},
		{"config show --config " + platform, commandline.ExitOK, []string{"limits.memory_mb = 64", platform + ":2", "log.level", "# default"}},
		{"config show --config " + broken, commandline.ExitFailure, []string{"limits.cores"}},
		{"run --config " + platform + " --operator " + broken, commandline.ExitFailure, []string{broken + ":1: "}},
	} {
		code, out, errOut := runCommand(strings.Fields(tc.args)...)
		if code != tc.code {
			t.Errorf("%q: exit %d, want %d: %s", tc.args, code, tc.code, errOut)
		}
		for _, want := range tc.want {
			if columns := regexp.MustCompile(` +`).ReplaceAllString(out, " "); !strings.Contains(columns+errOut, want) {
				t.Errorf("%q: %q is not in %q", tc.args, want, out+errOut)
			}
		}
	}
}

// program is a running dykering process with an operator's file and one endpoint.
type program struct {
	t    *testing.T
	cmd  *exec.Cmd
	file string
	pipe *os.File
	log  *bufio.Reader
	url  string
	seen []string // log lines read so far
}

func startProgram(t *testing.T, text string) *program {
	t.Helper()
	return startProgramWith(t, text, nil)
}

// startProgramWith starts a program after change, if any, has modified its command.
func startProgramWith(t *testing.T, text string, change func(*exec.Cmd)) *program {
	t.Helper()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":%q,"az":"z","model":"m","state":"Ready","capacity_hint":1}]}`, endpoint.Listener.Addr())
		fmt.Fprintln(w)
		http.NewResponseController(w).Flush()
		if r.URL.Query().Has("follow") {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
		endpoint.Close()
	})
	p := &program{t: t, file: writeFile(t, "dykering.toml", text)}
	config := writeConfiguration(t, discovery.Listener.Addr().String())
	p.cmd = exec.Command(os.Args[0], "run", "--config", config, "--operator", p.file)
	p.cmd.Env = append(os.Environ(), "BE_DYKERING=1")
	if change != nil {
		change(p.cmd)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = w
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	p.pipe, p.log = r, bufio.NewReader(r)
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		p.cmd.Wait()
		r.Close()
	})
	line := p.waitForLog("process.serving")
	p.url = "http://" + regexp.MustCompile(`127\.0\.0\.1:\d+`).FindString(line)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if res, err := http.Get(p.url + "/ready"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return p
			}
		}
	}
	t.Fatal("the program did not become ready")
	return nil
}

// waitForLog reads the log up to a line that contains a text, and returns that line.
func (p *program) waitForLog(text string) string {
	p.t.Helper()
	p.pipe.SetReadDeadline(time.Now().Add(waitTimeout))
	for {
		line, err := p.log.ReadString('\n')
		if err != nil {
			p.t.Fatalf("the log ended before %q: %v", text, err)
		}
		p.seen = append(p.seen, line)
		if strings.Contains(line, text) {
			return line
		}
	}
}

func (p *program) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// sendRequest sends a request, and returns the status and the duration until the response was complete.
func (p *program) sendRequest(id string) (status int, took time.Duration) {
	r, _ := http.NewRequest(http.MethodGet, p.url+"/x", nil)
	r.Header = http.Header{"X-Txn": {id}, "X-Lane": {"read"}, "X-Remaining": {"900m"}, "X-Org": {"one"}}
	began := time.Now()
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, time.Since(began)
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	return res.StatusCode, time.Since(began)
}

// A valid file becomes a new generation, and the log lists its changes. An invalid file leaves the previous generation in force,
// and one log line has the error and its position.
func TestValidReloadBecomesAGenerationAndInvalidOneIsRefused(t *testing.T) {
	p := startProgram(t, "version = 1\n")
	for i, step := range []struct{ text, want string }{
		{"version = 1\n[log]\nburst = 30\n", `operator.taken	{"changes": ["log.burst: 20 -> 30"], "generation": 2}`},
		{"version = 1\n[log]\nburst = \"ma", "operator.refused"},
		{"version = 1\n[log]\nburst = 0\nmost = 0\n", `:3: log.burst: has to be at least 1", "faults": 2, "generation": 2}`},
		{"version = 2\n", `:1: version: has to be at most 1", "faults": 1, "generation": 2}`},
		{"", `version: missing: has to be at least 1", "faults": 1, "generation": 2}`},
		{"gone", `no such file or directory", "faults": 1, "generation": 2}`},
		{"version = 1\n[log]\nformat = \"json\"\n", `"event":"operator.taken","changes":["log.format: \"console\" -> \"json\"","log.burst: 30 -> 20"],"generation":3}`},
	} {
		if step.text == "gone" {
			os.Remove(p.file)
		} else if err := os.WriteFile(p.file, []byte(step.text), 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGHUP)
		if line := p.waitForLog("operator."); !strings.Contains(line, step.want) {
			t.Errorf("step %d: %q, want %q", i, line, step.want)
		}
		p.waitForLog("reload.taken") // the platform's file is unchanged
		if status, _ := p.sendRequest(fmt.Sprint("g", i)); status != 200 {
			t.Errorf("step %d: status %d", i, status)
		}
	}
	for range 20 {
		p.signal(syscall.SIGHUP)
	}
	p.waitForLog("reload.taken")
	if status, _ := p.sendRequest("after"); status != 200 {
		t.Errorf("after twenty signals: status %d", status)
	}
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	p.pipe.SetReadDeadline(time.Time{})
	go io.Copy(io.Discard, p.log)
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("after both signals: %v", err)
	}
}

// While nothing reads the log under load, no request is delayed. Dropped lines are reported afterwards.
func TestUnreadLogDelaysNoRequest(t *testing.T) {
	p := startProgram(t, "version = 1\n[log]\nlevel = \"debug\"\nburst = 1000\nmost = 10000\nbuffer = \"16KiB\"\n")
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for k := range 250 {
				if status, took := p.sendRequest(fmt.Sprintf("r%d-%d", i, k)); status != 200 || took > waitTimeout/10 {
					t.Errorf("status %d after %v", status, took)
					return
				}
			}
		})
	}
	all.Wait()
	p.waitForLog("log.dropped")
}

// When the reader of the log has closed the pipe, the process continues to serve and exits normally after SIGTERM.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	p := startProgram(t, "version = 1\n[log]\nlevel = \"debug\"\nburst = 1000\nmost = 10000\n")
	p.pipe.Close()
	for k := range 50 {
		if status, _ := p.sendRequest(fmt.Sprint("gone", k)); status != 200 {
			t.Fatalf("request %d: status %d", k, status)
		}
	}
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// A reload during a drain does not end the drain, and requests are still served.
func TestReloadWhileDrainingKeepsServing(t *testing.T) {
	place := loopback.Address()
	p := startProgramWith(t, "version = 1\n", func(c *exec.Cmd) { c.Env = append(c.Env, "BALANCER_CONTROL="+place) })
	call := func(name string) {
		res, err := http.Post("http://"+place+"/-/"+name, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
	}
	ready := func() int {
		res, err := http.Get(p.url + "/ready")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode
	}
	call("drain")
	p.signal(syscall.SIGHUP)
	p.waitForLog("operator.taken")
	p.waitForLog("reload.taken")
	if got := ready(); got != http.StatusServiceUnavailable {
		t.Errorf("the reload ended the drain: /ready has status %d", got)
	}
	if status, _ := p.sendRequest("drained"); status != 200 {
		t.Errorf("status %d during a drain", status)
	}
	call("resume")
	if got := ready(); got != http.StatusOK {
		t.Errorf("after resume /ready has status %d", got)
	}
}

// Two processes on one socket reload during a handover from one to the other. All requests succeed, and the old process exits.
func TestReloadDuringAHandoverRejectsNobody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	defer socket.Close()
	shared := t.TempDir()
	startOne := func() *program {
		return startProgramWith(t, "version = 1\n", func(c *exec.Cmd) {
			c.ExtraFiles = []*os.File{socket} // descriptor 3
			c.Env = append(c.Env, "BALANCER_ACCEPT_FD=3", "TMPDIR="+shared)
		})
	}
	predecessor := startOne()
	successor := startOne()
	var asking sync.WaitGroup
	var done atomic.Bool
	var asked atomic.Int64
	for i := range 4 {
		asking.Go(func() {
			for k := 0; !done.Load(); k++ {
				if status, _ := predecessor.sendRequest(fmt.Sprintf("h%d-%d", i, k)); status != 200 {
					t.Errorf("status %d", status)
				}
				asked.Add(1)
			}
		})
	}
	wait := func(n int64) {
		for end := time.Now().Add(waitTimeout); asked.Load() < n && time.Now().Before(end); time.Sleep(time.Millisecond) {
			continue
		}
	}
	wait(50)
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		predecessor.signal(s)
		successor.signal(syscall.SIGHUP)
	}
	successor.waitForLog("operator.taken")
	predecessor.pipe.SetReadDeadline(time.Time{})
	go io.Copy(io.Discard, predecessor.log)
	if err := predecessor.cmd.Wait(); err != nil {
		t.Errorf("the old process: %v", err)
	}
	wait(asked.Load() + 50)
	done.Store(true)
	asking.Wait()
}
