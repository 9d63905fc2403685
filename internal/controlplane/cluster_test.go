package controlplane

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/lab/loopback"
	"dykering/internal/nodefile"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

func TestControlplane(t *testing.T) {
	RegisterFailHandler(Fail)
	protocol.Register()
	RunSpecs(t, "the control plane")
}

// eventuallyTimeout bounds each wait for a condition.
const eventuallyTimeout = 20 * time.Second

// eventually polls a value until it satisfies the assertion that follows, for at most eventuallyTimeout.
func eventually(actual any) AsyncAssertion {
	return EventuallyWithOffset(1, actual, eventuallyTimeout)
}

// member is a control process under test. It runs in the process of the test.
type member struct {
	settings nodefile.Settings
	stop     chan os.Signal
	finished chan error // the result of Run
}

func (m *member) start() {
	m.stop, m.finished = make(chan os.Signal, 1), make(chan error, 1)
	settings, stop, finished := m.settings, m.stop, m.finished
	go func() { finished <- Run(settings, slog.New(slog.DiscardHandler), stop) }()
}

// signal sends the stop signal, as the platform does.
func (m *member) signal() {
	if m.stop != nil {
		m.stop <- syscall.SIGTERM
	}
}

// awaitEnd waits for the end of a member that has got the stop signal.
func (m *member) awaitEnd() {
	if m.stop == nil {
		return
	}
	eventually(m.finished).Should(Receive(BeNil()))
	m.stop = nil
	m.settings.InitialStart = false
}

// end stops the member and waits for its end.
func (m *member) end() {
	m.signal()
	m.awaitEnd()
}

// endAll stops members concurrently.
func endAll(members []*member) {
	for _, m := range members {
		m.signal()
	}
	for _, m := range members {
		m.awaitEnd()
	}
}

func (m *member) url(path string) string { return "http://" + m.settings.Listen.ControlPlane + path }

// newMembers creates the members of a core without starting them. Members that still run at the end of the spec are
// stopped.
func newMembers(n int) []*member {
	_, port, err := net.SplitHostPort(loopback.Address())
	Expect(err).NotTo(HaveOccurred())
	_, controlPort, err := net.SplitHostPort(loopback.Address())
	Expect(err).NotTo(HaveOccurred())
	var internal int
	_, err = fmt.Sscan(port, &internal)
	Expect(err).NotTo(HaveOccurred())
	var members []*member
	var seeds []string
	for i := range n {
		// Hosts that no other test process uses. loopback.Host uses lower addresses.
		host := fmt.Sprintf("127.%d.%d.%d", 128+i, os.Getpid()>>8&0xff, os.Getpid()&0xff)
		settings := nodefile.Defaults()
		settings.NodeName, settings.IPAddress, settings.InternalPortRange = fmt.Sprintf("core-%d", i), host, []int{internal, internal}
		settings.DataDirectory, settings.InitialStart = GinkgoT().TempDir(), true
		settings.Listen.ControlPlane = net.JoinHostPort(host, controlPort)
		settings.Limits.DiskMB = 16
		settings.Bounds.ContactMs, settings.Bounds.GracePeriodS = 900, 3
		seeds = append(seeds, settings.Listen.ControlPlane)
		members = append(members, &member{settings: settings})
	}
	for _, m := range members {
		m.settings.SeedNodes = seeds
	}
	DeferCleanup(endAll, members)
	return members
}

// startMembers creates and starts the members of a core.
func startMembers(n int) []*member {
	members := newMembers(n)
	for _, m := range members {
		m.start()
	}
	return members
}

var client = &http.Client{Timeout: 2 * time.Second}

// call sends a request and returns the status and the body of the response. The status is 0 if there is no response.
func call(method, url, body string, headers ...string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// sendChange sends a configuration that is based on version base, and returns the status of the response.
func sendChange(m *member, version, base int) int {
	body := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s%d"}]}`, version, version)
	status, _ := call(http.MethodPost, m.url("/configuration/replace"), body, fmt.Sprintf("X-Base-Version: %d", base))
	return status
}

// changeUntilAcknowledged repeats a change until it is acknowledged, as an operator does.
func changeUntilAcknowledged(m *member, version, base int) {
	GinkgoHelper()
	eventually(func() int { return sendChange(m, version, base) }).Should(Equal(http.StatusOK))
}

// readVersion reads the configuration at a member and returns its version, or an empty string if the read fails.
func readVersion(m *member) string {
	status, text := call(http.MethodGet, m.url("/configuration/read"), "")
	if status != http.StatusOK {
		return ""
	}
	_, rest, _ := strings.Cut(text, `"version":`)
	number, _, _ := strings.Cut(rest, ",")
	return number
}

// sendHeartbeat sends a heartbeat of an endpoint and returns the status of the response.
func sendHeartbeat(m *member, id string, sequence int, state sessions.State) int {
	body := fmt.Sprintf(`{"service":"s","address":"127.0.0.1:1","zone":"a","state":%q,"sequence":%d}`, state, sequence)
	status, _ := call(http.MethodPost, m.url("/instances/"+id+"/heartbeat"), body)
	return status
}
