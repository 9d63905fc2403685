package dataplane

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/http1"
	"dykering/internal/routing"
)

// maxBufferedBodyBytes is the longest body, in bytes, that is read to its end before any of it goes to the client, so that an
// endpoint that breaks off gives the client a failure in place of a cut response. Half or double: not measured.
const maxBufferedBodyBytes = 256 << 10

// handleResponse copies an endpoint's response to the client, or says why it is none for the client.
func (x *exchange) handleResponse(response *http1.EndpointResponse) attemptResult {
	load := parseLoad(response.Header.Get(headerInstanceLoad))
	if response.Header.Get(headerNotExecuted) != "" || response.Status == http.StatusMisdirectedRequest {
		return endpointRejectionResult(response, load)
	}
	isSigned := response.Header.Get(headerSignature) != ""
	isSuccess := response.Status >= 200 && response.Status < 300
	if !isSigned && isSuccess || statusImpliesNotRun(response.Status) {
		return attemptResult{mayHaveRun: true, callResult: routing.Failed, kind: errkind.EndpointFailed, detail: "an answer of no use", load: load}
	}
	result := x.copyResponse(response, isSuccess)
	result.load = load
	if result.callResult == routing.Succeeded && response.Status >= http.StatusInternalServerError {
		result.callResult = routing.Failed
	}
	return result
}

// endpointRejectionResult is the result where the endpoint says that it has not run the request: it is full or, by status 421, it
// has not loaded what is asked for or is another incarnation. The body is read so that the connection can be used again.
func endpointRejectionResult(response *http1.EndpointResponse, load *routing.ReportedLoad) attemptResult {
	// A body that does not end leaves the connection unfinished, so that it is not used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxBufferedBodyBytes))
	result := attemptResult{callResult: routing.RejectedFull, kind: errkind.Overloaded, detail: "turned away", load: load}
	if response.Status == http.StatusMisdirectedRequest {
		result.callResult, result.kind = routing.RejectedNotFound, errkind.NoEndpoint
	}
	return result
}

// statusImpliesNotRun reports whether clients take a status for the promise that a request has not run. Without the header that
// promises it, such a status does not go to a client.
func statusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// copyResponse copies a response in the way of its route.
func (x *exchange) copyResponse(response *http1.EndpointResponse, isSuccess bool) attemptResult {
	route := x.request.route
	switch {
	case x.responseStarted && !isSuccess:
		return attemptResult{mayHaveRun: true, callResult: routing.Succeeded, kind: errkind.EndpointFailed, detail: "the stream cannot go on"}
	case !isSuccess || route.Kind != fleetconfig.Streaming:
		return x.copyBuffered(response)
	case route.IsRetryable():
		return x.streamEvents(response)
	}
	return x.stream(response)
}

// copyBuffered reads a body to its end before any of it goes to the client, unless it is too long for that.
func (x *exchange) copyBuffered(response *http1.EndpointResponse) attemptResult {
	if response.Length > maxBufferedBodyBytes {
		return x.stream(response)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBodyBytes))
	if err != nil {
		return x.lostResponseResult(err)
	}
	if response.Finished() {
		x.writeHead(response, int64(len(body)))
		x.writer.Write(body)
		return attemptResult{answered: true, callResult: routing.Succeeded}
	}
	x.writeHead(response, response.Length)
	x.writer.Write(body)
	return x.streamBody(response)
}

// writeHead sends the head of a response to the client. A length below 0 is unknown.
func (x *exchange) writeHead(response *http1.EndpointResponse, length int64) {
	s, header := x.server, x.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	http1.RemoveHopByHop(header)
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if s.isStopping() {
		header.Set("Connection", "close")
	}
	x.writer.WriteHeader(response.Status)
	x.responseStarted = true
	x.timing.recordChunk(time.Now())
	key := x.request.demandKey()
	s.enqueue(func() { s.demand.responseStarted(key) })
}
