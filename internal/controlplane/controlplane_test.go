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
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

func TestControlplane(t *testing.T) {
	RegisterFailHandler(Fail)
	protocol.Register()
	RunSpecs(t, "the control plane")
}

const eventuallyTimeout = 20 * time.Second

// member is a control sidecar under test.
type member struct {
	settings nodefile.Settings
	stop     chan os.Signal
	ended    chan error
}

func (m *member) start() {
	m.stop, m.ended = make(chan os.Signal, 1), make(chan error, 1)
	settings, stop, ended := m.settings, m.stop, m.ended
	go func() { ended <- Run(settings, slog.New(slog.DiscardHandler), stop) }()
}

// end stops the member as the platform does.
func (m *member) end() {
	if m.stop == nil {
		return
	}
	m.stop <- syscall.SIGTERM
	Eventually(m.ended, eventuallyTimeout).Should(Receive(BeNil()))
	m.stop = nil
	m.settings.InitialStart = false
}

func (m *member) url(path string) string { return "http://" + m.settings.Listen.ControlPlane + path }

// core makes members that have not been started.
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
		// Hosts of this process alone: see loopback.Host, whose hosts are below these.
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
		DeferCleanup(m.end)
	}
	return members
}

func startMembers(n int) []*member {
	members := newMembers(n)
	for _, m := range members {
		m.start()
	}
	return members
}

var client = &http.Client{Timeout: 2 * time.Second}

// call makes one call and tells the status; 0 for no answer.
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

func sendChange(m *member, version, base int) int {
	body := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s%d"}]}`, version, version)
	status, _ := call(http.MethodPost, m.url("/configuration/replace"), body, fmt.Sprintf("X-Base-Version: %d", base))
	return status
}

// taken sends a change until it is acknowledged, as the operator does.
func changeUntilAcknowledged(m *member, version, base int) {
	GinkgoHelper()
	Eventually(func() int { return sendChange(m, version, base) }, eventuallyTimeout).Should(Equal(http.StatusOK))
}

func readVersion(m *member) string {
	status, text := call(http.MethodGet, m.url("/configuration/read"), "")
	if status != http.StatusOK {
		return ""
	}
	_, rest, _ := strings.Cut(text, `"version":`)
	number, _, _ := strings.Cut(rest, ",")
	return number
}

func sendHeartbeat(m *member, id string, sequence int, state sessions.State) int {
	body := fmt.Sprintf(`{"service":"s","address":"127.0.0.1:1","zone":"a","state":%q,"sequence":%d}`, state, sequence)
	status, _ := call(http.MethodPost, m.url("/instances/"+id+"/heartbeat"), body)
	return status
}

var _ = Describe("the configuration", func() {
	It("is taken at any member, given back at any other, and refused where the page says so", func() {
		members := startMembers(3)
		changeUntilAcknowledged(members[1], 3, 0)
		Eventually(func() string { return readVersion(members[2]) }, eventuallyTimeout).Should(Equal("3"))
		Eventually(func() int { return sendChange(members[0], 5, 1) }, eventuallyTimeout).Should(Equal(http.StatusPreconditionFailed))
		Eventually(func() int { return sendChange(members[2], 2, 3) }, eventuallyTimeout).Should(Equal(http.StatusBadRequest))
		changeUntilAcknowledged(members[2], 7, 3)
		changeUntilAcknowledged(members[0], 3, 0) // an order that was taken is acknowledged again, at any member, also after others
		Eventually(func() string { return readVersion(members[0]) }, eventuallyTimeout).Should(Equal("7"))
	})

	It("outlives every process, and the loss of one disk", func() {
		members := startMembers(3)
		changeUntilAcknowledged(members[0], 3, 0)
		for _, m := range members {
			m.end()
		}
		Expect(os.RemoveAll(members[1].settings.DataDirectory)).To(Succeed())
		for _, m := range members {
			m.start()
		}
		for _, m := range members {
			Eventually(func() string { return readVersion(m) }, eventuallyTimeout).Should(Equal("3"))
		}
		changeUntilAcknowledged(members[1], 4, 3)
	})

	It("is taken while a member is gone", func() {
		members := startMembers(3)
		changeUntilAcknowledged(members[2], 3, 0)
		members[0].end()
		changeUntilAcknowledged(members[2], 4, 3)
		Eventually(func() string { return readVersion(members[1]) }, eventuallyTimeout).Should(Equal("4"))
	})

	It("is not taken by a member that is alone", func() {
		members := newMembers(3)
		members[0].start()
		Eventually(func() int { return sendChange(members[0], 3, 0) }, eventuallyTimeout).Should(Equal(http.StatusServiceUnavailable))
	})

	DescribeTable("is refused where it cannot be read",
		func(path, body, base string, status int) {
			members := startMembers(1)
			Eventually(func() int {
				got, _ := call(http.MethodPost, members[0].url(path), body, "X-Base-Version: "+base)
				return got
			}, eventuallyTimeout).Should(Equal(status))
		},
		Entry("no JSON", "/configuration/replace", "{", "0", http.StatusBadRequest),
		Entry("no base", "/configuration/replace", "{}", "x", http.StatusBadRequest),
		Entry("deeply nested", "/configuration/replace", strings.Repeat("[", 100000), "0", http.StatusBadRequest),
		Entry("too large", "/configuration/replace", strings.Repeat(" ", maxConfigurationBytes+1), "0", http.StatusRequestEntityTooLarge),
	)
})

var _ = Describe("a stream of updates", func() {
	subscribe := func(m *member) *peerlink.Conn {
		GinkgoHelper()
		var conn *peerlink.Conn
		Eventually(func() error {
			var err error
			conn, err = peerlink.Dial(m.settings.InternalAddress(m.settings.IPAddress), time.Second)
			return err
		}, eventuallyTimeout).Should(Succeed())
		DeferCleanup(conn.Close)
		Expect(conn.Send(protocol.Subscribe{Name: "proxy"}, time.Second)).To(Succeed())
		return conn
	}
	// until receives updates until one is as wanted, from another stream where one ends.
	until := func(m *member, wanted func(protocol.Update) bool) {
		GinkgoHelper()
		conn := subscribe(m)
		Eventually(func() bool {
			message, err := conn.Receive(time.Second)
			if err != nil {
				conn = subscribe(m)
				return false
			}
			update, ok := message.(protocol.Update)
			return ok && wanted(update)
		}, eventuallyTimeout).Should(BeTrue())
	}

	It("brings the committed configuration", func() {
		members := startMembers(3)
		changeUntilAcknowledged(members[0], 3, 0)
		until(members[2], func(u protocol.Update) bool { return u.Configuration != nil && u.Configuration.Document.Version == 3 })
	})

	It("brings, from any member, what an endpoint said to another", func() {
		members := startMembers(3)
		Eventually(func() int { return sendHeartbeat(members[0], "i-1", 1, sessions.Ready) }, eventuallyTimeout).Should(Equal(http.StatusOK))
		until(members[1], func(u protocol.Update) bool { return len(u.Endpoints) == 1 && u.Endpoints[0].State == sessions.Ready })
		Eventually(func() int { return sendHeartbeat(members[2], "i-1", 2, sessions.Draining) }, eventuallyTimeout).Should(Equal(http.StatusOK))
		until(members[1], func(u protocol.Update) bool {
			return len(u.Endpoints) == 1 && u.Endpoints[0].State == sessions.Draining
		})
	})

	It("says that an endpoint leaves only when a majority knows", func() {
		members := startMembers(3)
		Eventually(func() int { return sendHeartbeat(members[0], "i-1", 1, sessions.Ready) }, eventuallyTimeout).Should(Equal(http.StatusOK))
		members[1].end()
		members[2].end()
		Eventually(func() int { return sendHeartbeat(members[0], "i-1", 2, sessions.Draining) }, eventuallyTimeout).Should(Equal(http.StatusServiceUnavailable))
	})

	It("tells its subscribers to go elsewhere when the member stops", func() {
		members := startMembers(3)
		changeUntilAcknowledged(members[0], 3, 0)
		leaving := make(chan bool, 1)
		conn := subscribe(members[2])
		go func() {
			for {
				message, err := conn.Receive(eventuallyTimeout)
				update, _ := message.(protocol.Update)
				if err != nil || update.Leaving {
					leaving <- update.Leaving
					return
				}
			}
		}()
		members[2].end()
		Eventually(leaving, eventuallyTimeout).Should(Receive())
	})
})

var _ = Describe("the status", func() {
	It("tells the view, the members, the sidecars and the endpoints", func() {
		members := startMembers(3)
		changeUntilAcknowledged(members[0], 3, 0)
		Eventually(func() int { return sendHeartbeat(members[0], "i-1", 1, sessions.Ready) }, eventuallyTimeout).Should(Equal(http.StatusOK))
		address := members[1].settings.InternalAddress(members[1].settings.IPAddress)
		Eventually(func(g Gomega) {
			status, err := AskStatus(address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status.Version).To(Equal(int64(3)))
			g.Expect(status.Members).To(HaveLen(3))
			g.Expect(status.InForce).To(BeTrue())
			g.Expect(status.Endpoints).To(HaveKeyWithValue(sessions.Ready, 1))
		}, eventuallyTimeout).Should(Succeed())
	})
})

var _ = Describe("a heartbeat", func() {
	DescribeTable("that cannot be read is refused",
		func(body string) {
			members := startMembers(1)
			Eventually(func() int {
				status, _ := call(http.MethodPost, members[0].url("/instances/i-1/heartbeat"), body)
				return status
			}, eventuallyTimeout).Should(Equal(http.StatusBadRequest))
		},
		Entry("no JSON", "{"),
		Entry("no state", `{"service":"s","address":"127.0.0.1:1"}`),
		Entry("no address", `{"service":"s","state":"ready"}`),
		Entry("a number that is none", `{"service":"s","address":"a:1","state":"ready","sequence":-1}`),
	)

	It("is acknowledged in little", func() {
		members := startMembers(1)
		Eventually(func() int { return sendHeartbeat(members[0], "i-1", 1, sessions.Ready) }, eventuallyTimeout).Should(Equal(http.StatusOK))
		_, text := call(http.MethodPost, members[0].url("/instances/i-1/deregister"), "")
		Expect(len(text)).To(BeNumerically("<", 4096))
	})
})
