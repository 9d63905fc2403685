package http1

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// maxHead bounds the head of a request, in bytes. The readers of downstream connections have
// buffers of this size.
const maxHead = 16 << 10

// requestError is why a request is invalid, with the status of the answer.
type requestError struct {
	status int
	text   string
}

// Error implements error.
func (f *requestError) Error() string { return f.text }

// readRequest reads a request up to its body. It waits for the complete head and checks it before
// http.ReadRequest parses it, because the latter normalizes away what checkHead looks for. An error
// other than a *requestError is the connection's.
func readRequest(r *bufio.Reader) (*http.Request, error) {
	head, err := peekHead(r)
	if err != nil {
		return nil, err
	}
	if f := checkHead(head); f != nil {
		return nil, f
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, &requestError{http.StatusBadRequest, "not a request: " + err.Error()}
	}
	if req.ProtoMajor != 1 {
		return nil, &requestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here"}
	}
	return req, nil
}

// peekHead waits until the reader's buffer holds a complete head. It skips empty lines in front of
// it (RFC 9112, section 2.2).
func peekHead(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; {
		if _, err := r.Peek(n); errors.Is(err, bufio.ErrBufferFull) {
			return nil, &requestError{http.StatusRequestHeaderFieldsTooLarge, "the head is too long"}
		} else if err != nil {
			return nil, err
		}
		got, _ := r.Peek(r.Buffered())
		if blank := len(got) - len(bytes.TrimLeft(got, "\r\n")); blank > 0 {
			r.Discard(blank)
			n = 1
			continue
		}
		if end := headLength(got); end > 0 {
			return got[:end], nil
		}
		n = len(got) + 1
	}
}

// headLength is the length of a head including the empty line that ends it; 0 while that line has
// not been received.
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
			return &requestError{http.StatusBadRequest, "a control character in the head"}
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
	old := strings.HasSuffix(strings.TrimSuffix(lines[0], "\r"), " HTTP/1.0")
	switch {
	case lengths > 0 && codings > 0:
		// The body may hide another request from one who goes by the other.
		return &requestError{http.StatusBadRequest, "both Content-Length and Transfer-Encoding"}
	case lengths > 1 || codings > 1:
		return &requestError{http.StatusBadRequest, "a length that is repeated"}
	case old && codings > 0:
		return &requestError{http.StatusBadRequest, "Transfer-Encoding in HTTP/1.0"}
	case hosts > 1 || hosts == 0 && !old:
		return &requestError{http.StatusBadRequest, "one Host is needed"}
	}
	return nil
}

// readHead reads the status and headers of a response, and whether its connection persists (RFC
// 9112, section 9.3).
func readHead(r *bufio.Reader) (code int, header textproto.MIMEHeader, lasting bool, err error) {
	text := textproto.NewReader(r)
	line, err := text.ReadLine()
	if err != nil {
		return 0, nil, false, err
	}
	version, rest, _ := strings.Cut(line, " ")
	digits, _, _ := strings.Cut(rest, " ")
	n, err := strconv.ParseUint(digits, 10, 16)
	if version != "HTTP/1.1" && version != "HTTP/1.0" || err != nil || len(digits) != 3 || n < 100 {
		return 0, nil, false, errMalformed
	}
	if header, err = text.ReadMIMEHeader(); err != nil {
		return 0, nil, false, err
	}
	if len(header["Transfer-Encoding"]) > 0 && version == "HTTP/1.0" {
		// RFC 9112, 6.1: its framing is faulty. Who reads 1.0 by the letter takes its chunks for the body itself.
		return 0, nil, false, errMalformed
	}
	lasting = version == "HTTP/1.1"
	for _, value := range header["Connection"] {
		lasting = lasting && !strings.Contains(strings.ToLower(value), "close")
	}
	return int(n), header, lasting, nil
}
