package http1

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// maxHead bounds the head of a request, in bytes. The readers of downstream connections have
// buffers of this size.
const maxHead = 16 << 10

// requestError describes why a request is invalid. It holds the status and text of the answer.
type requestError struct {
	status int
	text   string
}

// Error implements error.
func (e *requestError) Error() string { return e.text }

// badRequest returns the error for a request with a syntax error.
func badRequest(text string) *requestError {
	return &requestError{http.StatusBadRequest, text}
}

// readRequest reads a request up to its body. It waits for the complete head and calls checkHead
// before http.ReadRequest parses the head, because the parser normalizes the differences that
// checkHead looks for. The function reserve acquires the memory for the parsed head; readRequest returns
// errNoMemory if there is none. Another error than a *requestError is an error of the connection.
func readRequest(r *bufio.Reader, reserve func(head []byte) bool) (*http.Request, error) {
	head, err := peekHead(r)
	if err != nil {
		return nil, err
	}
	if !reserve(head) {
		return nil, errNoMemory
	}
	if invalid := checkHead(head); invalid != nil {
		return nil, invalid
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, badRequest("not a request: " + err.Error())
	}
	if req.ProtoMajor != 1 {
		return nil, &requestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here"}
	}
	return req, nil
}

// peekHead waits until the reader's buffer holds a complete head, and returns it. It skips empty lines
// before the head (RFC 9112, section 2.2), up to the length of the longest head.
func peekHead(r *bufio.Reader) ([]byte, error) {
	skipped := 0
	for n := 1; ; {
		if _, err := r.Peek(n); errors.Is(err, bufio.ErrBufferFull) {
			return nil, &requestError{http.StatusRequestHeaderFieldsTooLarge, "the head is too long"}
		} else if err != nil {
			return nil, err
		}
		buffered, _ := r.Peek(r.Buffered())
		if blank := len(buffered) - len(bytes.TrimLeft(buffered, "\r\n")); blank > 0 {
			if skipped += blank; skipped > maxHead {
				return nil, badRequest("empty lines without a request")
			}
			_, _ = r.Discard(blank) // cannot fail: no more than is buffered
			n = 1
			continue
		}
		if end := headLength(buffered); end > 0 {
			return buffered[:end], nil
		}
		n = len(buffered) + 1
	}
}

// headLength returns the length of a head including the empty line that ends it. It returns 0 while
// that line has not been received.
func headLength(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		switch rest := b[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		}
	}
}

// checkHead rejects heads that http.ReadRequest accepts but that another parser may read
// differently, which would allow request smuggling (RFC 9112, section 11.2).
func checkHead(head []byte) *requestError {
	lengths, codings, hosts := 0, 0, 0
	lines := strings.Split(string(head), "\n")
	for i, line := range lines {
		line = strings.TrimSuffix(line, "\r")
		if strings.IndexFunc(line, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) >= 0 {
			return badRequest("a control character in the head")
		}
		if i == 0 {
			continue
		}
		name, _, _ := strings.Cut(line, ":")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
		case "host":
			hosts++
		}
	}
	http10 := strings.HasSuffix(strings.TrimSuffix(lines[0], "\r"), " HTTP/1.0")
	switch {
	case lengths > 0 && codings > 0:
		// A parser that uses the other header would find another request in the body (RFC 9112, section 6.3).
		return badRequest("both Content-Length and Transfer-Encoding")
	case lengths > 1 || codings > 1:
		// Parsers differ in which of the values they use.
		return badRequest("a length that is repeated")
	case http10 && codings > 0:
		// An HTTP/1.0 parser reads the chunk framing as data (RFC 9112, section 6.1).
		return badRequest("Transfer-Encoding in HTTP/1.0")
	case hosts > 1 || hosts == 0 && !http10:
		// HTTP/1.1 requires exactly one Host header (RFC 9112, section 3.2).
		return badRequest("one Host is needed")
	}
	return nil
}

// readHead reads the head of a response.
func readHead(r *bufio.Reader) (head responseHead, err error) {
	text := textproto.NewReader(r)
	line, err := text.ReadLine()
	if err != nil {
		return head, err
	}
	version, rest, _ := strings.Cut(line, " ")
	digits, reason, _ := strings.Cut(rest, " ")
	code, err := strconv.ParseUint(digits, 10, 16)
	if version != "HTTP/1.1" && version != "HTTP/1.0" || err != nil || len(digits) != 3 || code < 100 {
		return head, errMalformed
	}
	if head.header, err = text.ReadMIMEHeader(); err != nil {
		return head, err
	}
	if containsStatusLine(reason) || headerContainsStatusLine(head.header) {
		return head, errMalformed
	}
	if len(head.header["Transfer-Encoding"]) > 0 && version == "HTTP/1.0" {
		// The framing is invalid (RFC 9112, section 6.1): an HTTP/1.0 parser reads the chunk framing as data.
		return head, errMalformed
	}
	head.code = int(code)
	head.keepAlive = version == "HTTP/1.1" // RFC 9112, section 9.3
	for _, value := range head.header["Connection"] {
		head.keepAlive = head.keepAlive && !strings.Contains(strings.ToLower(value), "close")
	}
	return head, nil
}

// headerContainsStatusLine reports whether a name or a value of a header contains a status line.
func headerContainsStatusLine(header textproto.MIMEHeader) bool {
	for name, values := range header {
		if containsStatusLine(name) || slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

const (
	statusLinePrefix = "HTTP/1."
	// statusCodeOffset is the offset of the status code in a status line, behind "HTTP/1.1 ".
	statusCodeOffset = len(statusLinePrefix) + 2
	statusCodeLength = 3
)

// containsStatusLine reports whether text contains the beginning of a status line. An endpoint may break
// off a response within its head, and go on with the response to the next request. The two parse as one
// head, which has the status line of the second within a line of the first.
func containsStatusLine(text string) bool {
	for {
		at := strings.Index(text, statusLinePrefix)
		if at < 0 {
			return false
		}
		if isStatusLine(text[at:]) {
			return true
		}
		text = text[at+len(statusLinePrefix):]
	}
}

// isStatusLine reports whether text begins with a minor version, a space and a status code behind
// statusLinePrefix.
func isStatusLine(text string) bool {
	if len(text) < statusCodeOffset+statusCodeLength || text[statusCodeOffset-1] != ' ' {
		return false
	}
	_, err := strconv.ParseUint(text[statusCodeOffset:statusCodeOffset+statusCodeLength], 10, 16)
	return err == nil
}
