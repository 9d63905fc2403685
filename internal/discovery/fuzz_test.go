package discovery

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"dykering/internal/core"
)

// FuzzLists checks that the list reader returns the same lists for arbitrary text whether it is read at once or byte by byte,
// that each list has targets or an empty array, and that reading terminates.
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
					t.Fatal("the reader accepted a list without targets")
				}
				revs = append(revs, got.Rev)
			}
		}
		whole, wholeErr := read(strings.NewReader(text))
		pieces, err := read(iotest.OneByteReader(strings.NewReader(text)))
		if len(whole) != len(pieces) || errors.Is(wholeErr, io.EOF) != errors.Is(err, io.EOF) {
			t.Fatalf("%d lists and error %v at once, %d lists and error %v byte by byte", len(whole), wholeErr, len(pieces), err)
		}
		for i := range whole {
			if whole[i] != pieces[i] {
				t.Fatalf("revisions %v at once, %v byte by byte", whole, pieces)
			}
		}
	})
}
