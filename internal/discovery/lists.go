package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"dykering/internal/core"
)

const maxList = 4 << 20 // bytes of one list

var (
	errMalformed = errors.New("not a list")
	errLong      = errors.New("a list is too long")
)

// lists reads lists one after another, however they are broken into lines, with empty lines between them.
type lists struct {
	body    io.Reader
	alive   func() // an empty line has come where a list may begin. A part of a list, however slow, is no sign of life
	decoder *json.Decoder
	inside  bool // a list has begun
	read    int  // bytes of it
}

func newLists(body io.Reader, alive func()) *lists {
	l := &lists{body: body, alive: alive}
	l.decoder = json.NewDecoder(l)
	return l
}

// Read is the decoder's.
func (l *lists) Read(b []byte) (int, error) {
	if l.read > maxList {
		return 0, errLong
	}
	n, err := l.body.Read(b)
	if !l.inside && n > 0 {
		if l.inside = len(bytes.TrimSpace(b[:n])) > 0; !l.inside {
			l.alive()
		}
	}
	if l.inside {
		l.read += n
	}
	return n, err
}

// next reads the next list; io.EOF is the end, where no list has begun.
func (l *lists) next() (got core.List, err error) {
	got.Targets = []core.Target{{}} // what is left of it where the list names none, not even an empty or null array
	if err = l.decoder.Decode(&got); err != nil {
		var syntax *json.SyntaxError
		var kind *json.UnmarshalTypeError
		if errors.As(err, &syntax) || errors.As(err, &kind) {
			err = fmt.Errorf("%w: %w", errMalformed, err)
		}
		return got, err
	}
	rest, err := io.ReadAll(l.decoder.Buffered())
	if err != nil {
		return got, err
	}
	rest = bytes.TrimSpace(rest)
	l.inside, l.read = len(rest) > 0, len(rest)
	if len(got.Targets) == 1 && got.Targets[0] == (core.Target{}) {
		return got, fmt.Errorf("%w: no targets", errMalformed)
	}
	return got, nil
}

// noEOF is an end that came too early.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
