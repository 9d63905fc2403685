package http1

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"testing"
)

// interruptingReader returns a text in parts. Between two parts it returns os.ErrDeadlineExceeded.
type interruptingReader struct{ parts []string }

func (b *interruptingReader) Read(p []byte) (int, error) {
	switch {
	case len(b.parts) == 0:
		return 0, io.EOF
	case b.parts[0] == "":
		b.parts = b.parts[1:]
		if len(b.parts) == 0 {
			return 0, io.EOF
		}
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, b.parts[0])
	b.parts[0] = b.parts[0][n:]
	return n, nil
}

const sampleChunkedBody = "5\r\nhello\r\n1;a=b\r\n,\r\n00c  \r\n wide, \r\nwor\r\n0\r\nX-Sum: 12\r\nX-More: 3\r\n\r\n"

// readAll reads a body with a longer buffer each time, until it ends or is interrupted.
func readAll(c *chunkedReader) (got []byte, interrupted bool, err error) {
	for n := 1; ; n++ {
		b := make([]byte, n)
		k, err := c.Read(b)
		got = append(got, b[:k]...)
		switch {
		case errors.Is(err, io.EOF):
			return got, interrupted, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return got, true, nil
		case err != nil:
			return got, false, err
		}
	}
}

// A body may be interrupted at any byte. Another process must be able to continue it, either from the
// reader's position or from the re-encoded body.
func TestChunkedBodyResumesAfterEachByte(t *testing.T) {
	const want, body = "hello, wide, \r\nwor", sampleChunkedBody
	for at := range len(body) + 1 {
		c := newChunkedReader(bufio.NewReader(&interruptingReader{[]string{body[:at], body[at:], ""}}))
		got, interrupted, err := readAll(c)
		if err != nil || interrupted != (at < len(body)) {
			t.Fatalf("at %d: %v, interrupted %v", at, err, interrupted)
		}
		if !interrupted {
			continue
		}
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		var resumed chunkedReader
		if err := json.Unmarshal(text, &resumed); err != nil || !resumed.valid() {
			t.Fatalf("at %d: %v, %s", at, err, text)
		}
		unread, _ := c.r.Peek(c.r.Buffered())
		resumed.r = bufio.NewReader(io.MultiReader(bytes.NewReader(unread), strings.NewReader(body[at:])))
		rest, _, err := readAll(&resumed)
		if trailer, _ := resumed.trailer(); err != nil || string(got)+string(rest) != want || trailer.Get("X-More") != "3" {
			t.Errorf("at %d: %q and %q, %v, %v", at, got, rest, err, trailer)
		}
		var encoded bytes.Buffer
		c.reencode(&encoded, got)
		encoded.WriteString(body[at:])
		text = bytes.Clone(encoded.Bytes())
		decoded := newChunkedReader(bufio.NewReader(&encoded))
		whole, _, err := readAll(decoded)
		if trailer, _ := decoded.trailer(); err != nil || string(whole) != want || trailer.Get("X-Sum") != "12" || encoded.Len() > 0 {
			t.Errorf("at %d: re-encoded body %q is read as %q, %v", at, text, whole, err)
		}
	}
}

// A body that ends early, or that two parsers may read differently, is an error.
func TestMalformedChunkedBodyIsRejected(t *testing.T) {
	for text, want := range map[string]error{
		"":                              io.ErrUnexpectedEOF,
		"5":                             io.ErrUnexpectedEOF,
		"5\r\nhel":                      io.ErrUnexpectedEOF,
		"5\r\nhello\r\n":                io.ErrUnexpectedEOF,
		"5\r\nhello\r\n0\r\n":           io.ErrUnexpectedEOF,
		"5\nhello\n0\n\n":               errMalformed,
		"5\r\nhello0\r\n\r\n":           errMalformed,
		"5\r\nhello\n0\r\n\r\n":         errMalformed,
		"-5\r\nhello\r\n":               errMalformed,
		"+5\r\nhello\r\n":               errMalformed,
		"0x5\r\nhello\r\n":              errMalformed,
		"5_0\r\nhello\r\n":              errMalformed,
		"\r\n":                          errMalformed,
		" 5\r\nhello\r\n":               errMalformed,
		"ffffffffffffffffffff\r\n":      errMalformed,
		"5" + strings.Repeat(" ", 5000): errMalformed,
		"0\r\nX: " + strings.Repeat("x", maxResponseHead) + "\r\n\r\n":      errMalformed,
		strings.Repeat("1;"+strings.Repeat("e", 4000)+"\r\nx\r\n", 9):       errTooLarge,
		"0\r\n" + strings.Repeat("X: "+strings.Repeat("x", 4000)+"\r\n", 9): errMalformed,
	} {
		if _, _, err := readAll(newChunkedReader(bufio.NewReader(strings.NewReader(text)))); !errors.Is(err, want) {
			t.Errorf("%.30q: got %v, want %v", text, err, want)
		}
	}
	c := newChunkedReader(bufio.NewReader(strings.NewReader("0\r\nno field\r\n\r\n")))
	readAll(c)
	if h, err := c.trailer(); err == nil {
		t.Errorf("malformed trailer was parsed as %v", h)
	}
}

// FuzzChunked compares the reader with the one of net/http: a body that this reader accepts must be
// accepted by that one too, with the same data.
func FuzzChunked(f *testing.F) {
	f.Add([]byte(sampleChunkedBody))
	f.Add([]byte("0\r\n\r\n"))
	f.Add([]byte("a\r\n0123456789\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, _, err := readAll(newChunkedReader(bufio.NewReader(bytes.NewReader(text))))
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if err == nil && (wantErr != nil || !bytes.Equal(got, want)) {
			t.Errorf("%q: got %q, net/http says %q, %v", text, got, want, wantErr)
		}
	})
}

func TestTrailerIsForwardedWithoutFramingFields(t *testing.T) {
	text := "0\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\nX-Sum: 1\r\n\r\n"
	b := newRequestBody(&http.Request{ContentLength: -1}, bufio.NewReader(strings.NewReader(text)))
	if _, err := io.ReadAll(b); err != nil || fmt.Sprint(b.trailer()) != "map[X-Sum:[1]]" {
		t.Errorf("got %v, %v", b.trailer(), err)
	}
	c := newChunkedReader(bufio.NewReader(strings.NewReader(text)))
	response := &responseBody{chunks: c, reader: c, length: -1, maxLength: maxStreamedBody}
	if _, err := io.ReadAll(response); err != nil || fmt.Sprint(response.trailer) != "map[X-Sum:[1]]" {
		t.Errorf("response: got %v, %v", response.trailer, err)
	}
}
