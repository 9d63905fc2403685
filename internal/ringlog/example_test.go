package ringlog_test

import (
	"fmt"
	"os"

	"dykering/internal/ringlog"
)

// The example logs a counter. A snapshot has the value of the counter and begins the next file of the ring. The other records
// add to the value.
func Example() {
	directory, err := os.MkdirTemp("", "ringlog")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	options := ringlog.Options{Directory: directory, Files: 2, FileSize: 4096}

	ring, _, err := ringlog.Open(options)
	if err != nil {
		panic(err)
	}
	for _, record := range []ringlog.Record{
		{Payload: []byte("value 0"), Rotate: true},
		{Payload: []byte("add 2")},
		{Payload: []byte("add 3")},
		{Payload: []byte("value 5"), Rotate: true},
		{Payload: []byte("add 1")},
	} {
		if err := ring.Append([]ringlog.Record{record}); err != nil {
			panic(err)
		}
	}
	ring.Close()

	ring, payloads, err := ringlog.Open(options)
	if err != nil {
		panic(err)
	}
	defer ring.Close()
	for _, payload := range payloads {
		fmt.Printf("%s\n", payload)
	}

	// Output:
	// value 5
	// add 1
}
