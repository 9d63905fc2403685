//go:build writefixtures

package protocol

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"dykering/internal/fleetconfig"
	"dykering/internal/lab/gobcompat"
)

// TestWriteFixtures writes the fixtures of the messages. It is not run to mend a failing comparison: the fixtures are what
// an earlier build has written. For a type that is new since, they are made anew by the build that sends it first, and all
// other lines of the rendered text must stay. Copied into an earlier build together with compat_test.go and package
// gobcompat, it writes that build's fixtures:
//
//	go test -tags writefixtures -run TestWriteFixtures ./internal/protocol
func TestWriteFixtures(t *testing.T) {
	Register()
	filler := &gobcompat.Filler{Interface: reflect.TypeFor[*fleetconfig.State]()}
	var messages []any
	var lines []string
	for _, registered := range registeredTypes {
		of := reflect.TypeOf(registered.value)
		messages = append(messages, filler.New(of).Interface())
		line, err := json.Marshal(schema{Name: registered.name, Schema: gobcompat.SchemaOf(of)})
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, string(line))
	}
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	gobcompat.WriteFile(t, schemasFile, []byte("[\n"+strings.Join(lines, ",\n")+"\n]\n"))
	stream := sendAll(t, messages)
	gobcompat.WriteFile(t, streamFile, stream)
	gobcompat.WriteFile(t, renderedFile, []byte(renderAll(messages)))
	if got := renderAll(receiveAll(t, stream)); got != renderAll(messages) {
		t.Error("the messages are not read as they were written")
	}
}
