package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"dykering/internal/core"
)

// maxListBytes bounds one list, in bytes.
const maxListBytes = 4 << 20

var (
	// errMalformedList is a list that cannot be read; the changes in it are lost.
	errMalformedList = errors.New("not a list")
	// errListTooLong is a list of more than maxListBytes.
	errListTooLong = errors.New("a list is too long")
)

// listReader reads lists one after another, however they are broken into lines, with empty lines between them.
type listReader struct {
	body io.Reader
	// onKeepAlive is called for an empty line where a list may begin. A part of a list, however slowly it comes, is no
	// sign of life.
	onKeepAlive func()
	decoder     *json.Decoder
	inList      bool // a list has begun
	listBytes   int  // read of it
}

func newListReader(body io.Reader, onKeepAlive func()) *listReader {
	l := &listReader{body: body, onKeepAlive: onKeepAlive}
	l.decoder = json.NewDecoder(l)
	return l
}

// Read is called by the decoder. It counts the bytes of a list and notices empty lines between lists.
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

// next reads the next list. It returns io.EOF at the end where no list has begun, an errMalformedList where a list
// cannot be read, and the reader's error otherwise.
func (l *listReader) next() (list core.List, err error) {
	// One empty target stays only where the list names no targets, not even an empty or null array.
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
		return list, fmt.Errorf("%w: no targets", errMalformedList)
	}
	return list, nil
}

// unexpectedEOF turns the end of a response into an error where a list was due.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
