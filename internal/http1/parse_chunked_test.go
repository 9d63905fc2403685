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

// broken gives a text in two parts, with an interruption between them.
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

const someChunks = "5\r\nhello\r\n1;a=b\r\n,\r\n00c  \r\n wide, \r\nwor\r\n0\r\nX-Sum: 12\r\nX-More: 3\r\n\r\n"

// readAll reads a body, with a longer buffer each time, until something other than an interruption ends it.
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

// A body can be interrupted at each byte, and be continued by another process or encoded anew for
// one.
func TestChunkedBodyResumesAfterEachByte(t *testing.T) {
	const want, body = "hello, wide, \r\nwor", someChunks
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
		var other chunkedReader
		if err := json.Unmarshal(text, &other); err != nil || !other.valid() {
			t.Fatalf("at %d: %v, %s", at, err, text)
		}
		left, _ := c.r.Peek(c.r.Buffered())
		other.r = bufio.NewReader(io.MultiReader(bytes.NewReader(left), strings.NewReader(body[at:])))
		rest, _, err := readAll(&other)
		if trailer, _ := other.trailer(); err != nil || string(got)+string(rest) != want || trailer.Get("X-More") != "3" {
			t.Errorf("at %d: %q and %q, %v, %v", at, got, rest, err, trailer)
		}
		var anew bytes.Buffer
		c.reencode(&anew, got)
		anew.WriteString(body[at:])
		text = bytes.Clone(anew.Bytes())
		again := newChunkedReader(bufio.NewReader(&anew))
		whole, _, err := readAll(again)
		if trailer, _ := again.trailer(); err != nil || string(whole) != want || trailer.Get("X-Sum") != "12" || anew.Len() > 0 {
			t.Errorf("at %d: anew %q gives %q, %v", at, text, whole, err)
		}
	}
}

// A body that ends early, or that parsers may read differently, is an error.
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
		t.Errorf("a trailer that is none: %v", h)
	}
}

// FuzzChunked compares with net/http's reader: what both read completely is the same, and what that
// one rejects is rejected here.
func FuzzChunked(f *testing.F) {
	f.Add([]byte(someChunks))
	f.Add([]byte("0\r\n\r\n"))
	f.Add([]byte("a\r\n0123456789\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, _, err := readAll(newChunkedReader(bufio.NewReader(bytes.NewReader(text))))
		want, fault := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if err == nil && (fault != nil || !bytes.Equal(got, want)) {
			t.Errorf("%q: got %q, net/http says %q, %v", text, got, want, fault)
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
	answer := &responseBody{chunks: c, reader: c, length: -1, maxLength: maxStreamedBody}
	if _, err := io.ReadAll(answer); err != nil || fmt.Sprint(answer.trailer) != "map[X-Sum:[1]]" {
		t.Errorf("of an answer: got %v, %v", answer.trailer, err)
	}
}
