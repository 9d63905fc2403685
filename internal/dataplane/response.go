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

// maxBufferedBodyBytes bounds the bodies that are read completely before any part is sent to the client. If the endpoint closes
// the connection in the middle of such a body, the client gets an error response in place of a truncated one.
const maxBufferedBodyBytes = 256 << 10

// handleResponse copies an endpoint's response to the client. It does not copy a response that reports that the request has not
// run, a success without a signature, or a status that clients would take for a promise that the request has not run.
func (x *exchange) handleResponse(response *http1.EndpointResponse) attemptResult {
	load := parseLoad(response.Header.Get(headerInstanceLoad))
	if response.Header.Get(headerNotExecuted) != "" || response.Status == http.StatusMisdirectedRequest {
		return endpointRejectionResult(response, load)
	}
	isSigned := response.Header.Get(headerSignature) != ""
	isSuccess := response.Status >= 200 && response.Status < 300
	if !isSigned && isSuccess || statusImpliesNotRun(response.Status) {
		return attemptResult{
			mayHaveRun: true, callResult: routing.Failed, kind: errkind.EndpointFailed, detail: "an answer of no use", load: load,
		}
	}
	result := x.copyResponse(response, isSuccess)
	result.load = load
	if result.callResult == routing.Succeeded && response.Status >= http.StatusInternalServerError {
		result.callResult = routing.Failed
	}
	return result
}

// endpointRejectionResult returns the result of an attempt whose endpoint reports that it has not run the request. Status 421
// means that the endpoint does not have the model or adapter loaded, or that it is another incarnation; any other status means
// that it is full. The body is read so that the connection can be reused.
func endpointRejectionResult(response *http1.EndpointResponse, load *routing.ReportedLoad) attemptResult {
	// After an error, or if the body is longer, the response is not finished and its connection is not reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxBufferedBodyBytes))
	result := attemptResult{callResult: routing.RejectedFull, kind: errkind.Overloaded, detail: "turned away", load: load}
	if response.Status == http.StatusMisdirectedRequest {
		result.callResult, result.kind = routing.RejectedNotFound, errkind.NoEndpoint
	}
	return result
}

// statusImpliesNotRun reports whether clients conclude from a status that the request has not run. Such a status is not sent to a
// client unless the endpoint has promised that with the header X-Not-Executed.
func statusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// copyResponse copies a response to the client: buffered, streamed, or streamed by events if the stream can be resumed.
func (x *exchange) copyResponse(response *http1.EndpointResponse, isSuccess bool) attemptResult {
	route := x.request.route
	switch {
	case x.responseStarted && !isSuccess:
		return attemptResult{
			mayHaveRun: true, callResult: routing.Succeeded, kind: errkind.EndpointFailed,
			detail: "the endpoint did not resume the stream",
		}
	case !isSuccess || route.Kind != fleetconfig.Streaming:
		return x.copyBuffered(response)
	case route.IsRetryable():
		return x.streamEvents(response)
	}
	return x.stream(response)
}

// copyBuffered reads a body completely before it sends any part to the client. It streams a body that is longer than
// maxBufferedBodyBytes, or for which there is no memory.
func (x *exchange) copyBuffered(response *http1.EndpointResponse) attemptResult {
	if response.Length > maxBufferedBodyBytes {
		return x.stream(response)
	}
	size := maxBufferedBodyBytes
	if response.Length >= 0 {
		size = int(response.Length)
	}
	memory := &x.server.memory.Bodies
	if !memory.TryAcquire(size) {
		return x.stream(response) // clients that do not read their responses hold the memory
	}
	defer memory.Release(size)
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

// writeHead sends the head of a response to the client. A negative length means that the length of the body is unknown.
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
