package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"dykering/internal/core"
)

// maxListBytes is the maximum size of one list, in bytes.
const maxListBytes = 4 << 20

var (
	// errMalformedList means that a list cannot be decoded, so that the changes in it are lost.
	errMalformedList = errors.New("malformed endpoint list")
	// errListTooLong means that a list exceeds maxListBytes.
	errListTooLong = fmt.Errorf("endpoint list exceeds %d bytes", maxListBytes)
)

// listReader reads a sequence of JSON lists with empty lines between them. A list may span several lines.
type listReader struct {
	body io.Reader
	// onKeepAlive is called for an empty line between two lists. Data within a list does not count as a keep-alive, because
	// a list that arrives slowly without end would hide later changes.
	onKeepAlive func()
	decoder     *json.Decoder
	inList      bool // a list has begun
	listBytes   int  // number of bytes read of that list
}

func newListReader(body io.Reader, onKeepAlive func()) *listReader {
	l := &listReader{body: body, onKeepAlive: onKeepAlive}
	l.decoder = json.NewDecoder(l)
	return l
}

// Read implements io.Reader for the decoder. It counts the bytes of each list and detects empty lines between lists.
func (l *listReader) Read(b []byte) (int, error) {
	if l.listBytes > maxListBytes {
		return 0, errListTooLong
	}
	n, err := l.body.Read(b)
	if !l.inList && n > 0 {
		if l.inList = len(bytes.TrimSpace(b[:n])) > 0; !l.inList {
			l.onKeepAlive()
		}
	}
	if l.inList {
		l.listBytes += n
	}
	return n, err
}

// next reads the next list. It returns io.EOF if the body ends between two lists, an error that wraps errMalformedList if a
// list cannot be decoded, and otherwise the error of the reader.
func (l *listReader) next() (list core.List, err error) {
	// The empty target remains only if the JSON object has no key "targets". An empty or null array overwrites it.
	list.Targets = []core.Target{{}}
	if err = l.decoder.Decode(&list); err != nil {
		var syntaxError *json.SyntaxError
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &syntaxError) || errors.As(err, &typeError) {
			err = fmt.Errorf("%w: %w", errMalformedList, err)
		}
		return list, err
	}
	rest, err := io.ReadAll(l.decoder.Buffered())
	if err != nil {
		return list, err
	}
	rest = bytes.TrimSpace(rest)
	l.inList, l.listBytes = len(rest) > 0, len(rest)
	if len(list.Targets) == 1 && list.Targets[0] == (core.Target{}) {
		return list, fmt.Errorf("%w: key \"targets\" is missing or has one empty target", errMalformedList)
	}
	return list, nil
}

// unexpectedEOF converts io.EOF to io.ErrUnexpectedEOF, for a response that ends before its list.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
