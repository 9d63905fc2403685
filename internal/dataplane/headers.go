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

// Headers of the protocol with clients and endpoints. Their names are part of that protocol and must not change.
const (
	headerRequestID        = "X-Request-Id"
	headerDeadline         = "X-Deadline-Ms"        // remaining time of the client, in milliseconds
	headerModel            = "X-Model"              // model, or model/adapter
	headerTokenUsage       = "X-Token-Usage"        // tokens of the prompt, tokens of the output
	headerPromptPrefix     = "X-Prompt-Prefix"      // segments of the prompt, each as id:tokens
	headerExpectedInstance = "X-Expected-Instance"  // ID of the endpoint incarnation that the request is for
	headerNotExecuted      = "X-Not-Executed"       // the endpoint has not run the request and never will
	headerSignature        = "X-Response-Signature" // set by an endpoint that has run the request
	headerInstanceLoad     = "X-Instance-Load"      // running requests, waiting requests, slots
	headerLastEventID      = "Last-Event-Id"        // ID of the last event that the client of a resumed stream has
	headerPriority         = "Priority"             // 0 is the most urgent
	headerVersions         = "Versions"             // version of the model weights that a response was made with
	headerExpectVersion    = "Expect-Version"       // version of the model weights that a resumed stream must be made with
)

// Limits on values from headers.
const (
	// defaultRequestTimeout applies if the client sends no deadline.
	defaultRequestTimeout = 30 * time.Second
	// maxRequestTimeout bounds the deadline of a client.
	maxRequestTimeout = time.Hour
	// maxPromptSegments bounds the segments of a prompt. Further segments are ignored.
	maxPromptSegments = 64
)

// requestTimeout returns how long a request may take: the lower of the client's deadline and the route's timeout.
func requestTimeout(r *http.Request, route *fleetconfig.Route) time.Duration {
	timeout := clientTimeout(r)
	if routeTimeout := route.Timeout(); routeTimeout > 0 {
		timeout = min(timeout, routeTimeout)
	}
	return timeout
}

// clientTimeout returns how long the client of a request waits.
func clientTimeout(r *http.Request) time.Duration {
	if ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64); err == nil && ms >= 0 {
		return min(time.Duration(ms*float64(time.Millisecond)), maxRequestTimeout)
	}
	return defaultRequestTimeout
}

// tokenUsage is the size of a request to a model, in tokens.
type tokenUsage struct{ prompt, output float64 }

// outputTokenWeight is the cost of generating one output token, in units of the cost of reading one prompt token.
const outputTokenWeight = 10

// weightedTokens returns the size of a request as it counts in demand reports, in units of prompt tokens.
func (u tokenUsage) weightedTokens() float64 { return u.prompt + outputTokenWeight*u.output }

// parseTokenUsage parses X-Token-Usage. A number that cannot be parsed counts as 0.
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

// promptSegment is a segment of a prompt. Several requests may share it.
type promptSegment struct {
	id     string
	tokens float64
}

// parsePromptPrefix parses X-Prompt-Prefix. It skips segments that cannot be parsed and those beyond maxPromptSegments.
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

// parseLoad parses X-Instance-Load, the load that an endpoint reports. It returns nil for an invalid or absent value.
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

// idleConnectionLifetime returns how long an idle connection to an endpoint is kept: keepAliveFraction of the timeout in the
// endpoint's Keep-Alive header, or defaultKeepAlive without such a header.
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

// routePriority returns the configured priority of a route, clamped to the range from 0 (most urgent) to maxRoutePriority.
func routePriority(route *fleetconfig.Route) int {
	return int(math.Min(math.Max(route.Priority, 0), maxRoutePriority))
}
