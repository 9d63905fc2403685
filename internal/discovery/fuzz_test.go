package discovery

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"dykering/internal/core"
)

// Whatever a watch brings, in whatever pieces: the lists are the same, each names what it is to list, and reading ends.
func FuzzLists(f *testing.F) {
	for _, text := range []string{
		"", "\n\n", `{"rev":1,"targets":[]}`, "{\n\"rev\": 2,\n\"all\": true,\n\"targets\": [{\"uid\": \"a\"}]\n}\n\n{",
		`{"rev":3,"all":true}`, `null`, `[1]`, `{"rev":4,"targets":null} x`,
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		read := func(from io.Reader) (revs []uint64, last error) {
			for l := newListReader(from, func() {}); ; {
				got, err := l.next()
				if err != nil {
					return revs, err
				}
				if len(got.Targets) == 1 && got.Targets[0] == (core.Target{}) {
					t.Fatal("a list that names nothing")
				}
				revs = append(revs, got.Rev)
			}
		}
		whole, wholeErr := read(strings.NewReader(text))
		pieces, err := read(iotest.OneByteReader(strings.NewReader(text)))
		if len(whole) != len(pieces) || errors.Is(wholeErr, io.EOF) != errors.Is(err, io.EOF) {
			t.Fatalf("%d lists and %v, in pieces %d and %v", len(whole), wholeErr, len(pieces), err)
		}
		for i := range whole {
			if whole[i] != pieces[i] {
				t.Fatal(whole, pieces)
			}
		}
	})
}
