package dataplane

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/routing"
)

// Headers of the protocol with clients and endpoints (docs/SYSTEM.md). Their names are fixed.
const (
	headerRequestID        = "X-Request-Id"
	headerDeadline         = "X-Deadline-Ms"        // the client's remaining time
	headerModel            = "X-Model"              // model, or model/adapter
	headerTokenUsage       = "X-Token-Usage"        // tokens of the prompt, tokens of the output
	headerPromptPrefix     = "X-Prompt-Prefix"      // segments of the prompt, id:tokens each
	headerExpectedInstance = "X-Expected-Instance"  // id of the incarnation that the request is for
	headerNotExecuted      = "X-Not-Executed"       // the endpoint has not run the request and never will
	headerSignature        = "X-Response-Signature" // set by an endpoint that has run the request
	headerInstanceLoad     = "X-Instance-Load"      // running, waiting, slots
	headerLastEventID      = "Last-Event-Id"
	headerPriority         = "Priority" // 0 is the most urgent
	headerVersions         = "Versions" // of the weights that a response was made with
	headerExpectVersion    = "Expect-Version"
)

// Bounds on what is taken from headers.
const (
	// defaultRequestTimeout is for a client that names no deadline. Half or double: not measured.
	defaultRequestTimeout = 30 * time.Second
	// maxRequestTimeout bounds a client's deadline.
	maxRequestTimeout = time.Hour
	// maxPromptSegments bounds the segments of a prompt.
	maxPromptSegments = 64
)

// requestTimeout is how long a request may take: by its client's deadline, and by its route's timeout.
func requestTimeout(r *http.Request, route *fleetconfig.Route) time.Duration {
	timeout := defaultRequestTimeout
	if ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64); err == nil && ms >= 0 {
		timeout = min(time.Duration(ms*float64(time.Millisecond)), maxRequestTimeout)
	}
	if routeTimeout := route.Timeout(); routeTimeout > 0 {
		timeout = min(timeout, routeTimeout)
	}
	return timeout
}

// tokenUsage is the size of a generation, in tokens.
type tokenUsage struct{ prompt, output float64 }

// outputTokenWeight is the work of a token of the output, against one of the prompt. Half or double: not measured.
const outputTokenWeight = 10

// weightedTokens is a generation's size as demand counts it, in tokens of a prompt.
func (u tokenUsage) weightedTokens() float64 { return u.prompt + outputTokenWeight*u.output }

func parseTokenUsage(text string) tokenUsage {
	promptText, outputText, _ := strings.Cut(text, ",")
	prompt, err := strconv.ParseFloat(strings.TrimSpace(promptText), 64)
	if err != nil {
		return tokenUsage{}
	}
	output, err := strconv.ParseFloat(strings.TrimSpace(outputText), 64)
	if err != nil {
		output = 0
	}
	return tokenUsage{prompt: prompt, output: output}
}

// promptSegment is a segment of a prompt that several requests may have in common.
type promptSegment struct {
	id     string
	tokens float64
}

func parsePromptPrefix(text string) []promptSegment {
	var segments []promptSegment
	for field := range strings.SplitSeq(text, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(field), ":")
		if !ok || len(segments) >= maxPromptSegments {
			continue
		}
		tokens, err := strconv.ParseFloat(count, 64)
		if err != nil {
			continue
		}
		segments = append(segments, promptSegment{id: id, tokens: tokens})
	}
	return segments
}

// parseLoad reads an endpoint's report of its load; nil for none that can be read.
func parseLoad(text string) *routing.ReportedLoad {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return nil
	}
	var numbers [3]int
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil {
			return nil
		}
		numbers[i] = n
	}
	return &routing.ReportedLoad{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}

// idleConnectionLifetime is how long an idle connection is kept: a part of the time that its endpoint names in Keep-Alive, or
// defaultKeepAlive.
func idleConnectionLifetime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(keepAliveFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultKeepAlive
}

// maxRoutePriority is the least urgent priority of a route.
const maxRoutePriority = 9

// routePriority is the priority of a route's requests, from 0, the most urgent, to maxRoutePriority.
func routePriority(route *fleetconfig.Route) int {
	return int(math.Min(math.Max(route.Priority, 0), maxRoutePriority))
}
