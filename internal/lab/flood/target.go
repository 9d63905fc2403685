package flood

import (
	"net/http"
	"strings"
	"time"

	"dykering/internal/controlplane"
	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/localsystem"
	"dykering/internal/sessions"
)

// Target is a listener of a process, with an ordinary request to it.
type Target struct {
	Name    string
	Address string
	script  func(behavior Behavior, id int) script
	// isServed sends one ordinary request and reports whether it was answered with success.
	isServed func() bool
	// behaviors lists the behaviors that the listener can meet.
	behaviors []Behavior
}

// Behaviors returns the behaviors that the listener can meet.
func (t *Target) Behaviors() []Behavior { return t.behaviors }

// requestTimeout bounds an ordinary request.
const requestTimeout = 2 * time.Second

// ordinaryClient sends each request on a connection of its own.
var ordinaryClient = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// Largest bodies of the floods, in bytes: what the listener takes or more than it takes.
const (
	frontendBodyBytes      = 60_000 // the configuration of localsystem allows 65,536
	controlBodyBytes       = 1 << 20
	configurationBodyBytes = 15 << 20
	readinessBodyBytes     = 1 << 20
	sidecarBodyBytes       = 60_000
)

func httpTarget(name, address string, request httpRequest, isServed func() bool) Target {
	return Target{Name: name, Address: address, script: request.script, isServed: isServed, behaviors: HTTPBehaviors()}
}

// Frontend is the listener of a proxy for clients.
func Frontend(system *localsystem.System, proxy *localprocess.Process) Target {
	header := "X-Model: " + localsystem.ModelName(0) + "\r\nX-Deadline-Ms: 3000\r\n"
	request := httpRequest{method: "POST", path: localsystem.LongAnswerPath, header: header, bodyBytes: frontendBodyBytes}
	return httpTarget("frontend", proxy.Public, request, func() bool {
		return system.Clients.Request(localsystem.ModelName(0)).Status == http.StatusOK
	})
}

// Readiness is the listener of a proxy for readiness checks and metrics.
func Readiness(proxy *localprocess.Process) Target {
	request := httpRequest{method: "POST", path: "/readiness?", bodyBytes: readinessBodyBytes}
	return httpTarget("readiness", proxy.Readiness, request, func() bool {
		return isAnswered("GET", "http://"+proxy.Readiness+"/readiness", "")
	})
}

// heartbeatText is the heartbeat of an endpoint that runs nowhere and has no service of the configuration.
const heartbeatText = `{"service":"none","address":"127.0.0.1:9","zone":"zone-0","version":"v1","slots":1,"state":"` +
	string(sessions.Ready) + `","stage":"both","models":[],"sequence":1}`

// ControlPlane is the listener of a control process for endpoints and operators. The flood sends heartbeats.
func ControlPlane(control *localprocess.Process) Target {
	request := httpRequest{method: "POST", path: "/instances/f/heartbeat?", bodyBytes: controlBodyBytes}
	return httpTarget("control_plane", control.Public, request, func() bool { return controlIsServed(control) })
}

// Configuration is like ControlPlane for a flood that sends configurations.
func Configuration(control *localprocess.Process) Target {
	request := httpRequest{method: "POST", path: "/configuration/replace?", header: "X-Base-Version: 0\r\n", bodyBytes: configurationBodyBytes}
	target := httpTarget("configuration", control.Public, request, func() bool { return controlIsServed(control) })
	target.behaviors = configurationBehaviors()
	return target
}

// configurationBehaviors returns the behaviors that differ between calls with long and with short bodies.
func configurationBehaviors() []Behavior { return []Behavior{HeldBody, SlowBody, TinyChunks} }

// controlIsServed sends a heartbeat and reads the configuration.
func controlIsServed(control *localprocess.Process) bool {
	return isAnswered("POST", "http://"+control.Public+"/instances/ordinary/heartbeat", heartbeatText) &&
		isAnswered("GET", "http://"+control.Public+"/configuration/read", "")
}

// Internal is the listener of a control process for messages between processes.
func Internal(control *localprocess.Process) Target {
	return Target{
		Name: "internal", Address: control.InternalAddress(), behaviors: PeerBehaviors(),
		script: func(behavior Behavior, _ int) script { return peerScript(behavior) },
		isServed: func() bool {
			_, err := controlplane.AskStatus(control.InternalAddress())
			return err == nil
		},
	}
}

// isAnswered sends one request and reports whether it was answered with 200.
func isAnswered(method, url, body string) bool {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	response, err := ordinaryClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
