package controlplane

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logsPage is the documentation page of the log events. Its section on the control process has a table with one row per
// event.
const logsPage = "../../docs/LOGS.md"

// logsSection is the heading of the section on the control process.
const logsSection = "## Control process"

// logEvent is a log event as listed in the documentation page or as logged by the code.
type logEvent struct {
	name   string
	level  string
	fields string
}

// TestLoggedEventsMatchDocumentation checks that the documentation page has each event that the code logs, with its
// level and its fields, and no other events.
func TestLoggedEventsMatchDocumentation(t *testing.T) {
	fromPage, fromCode := eventsOfPage(t), eventsOfCode(t)
	if len(fromCode) == 0 {
		t.Fatal("no event found in the code")
	}
	for _, event := range fromCode {
		if !slices.Contains(fromPage, event) {
			t.Errorf("%s does not have %+v", logsPage, event)
		}
	}
	for _, event := range fromPage {
		if !slices.Contains(fromCode, event) {
			t.Errorf("the code does not log %+v", event)
		}
	}
}

// eventsOfPage parses the rows of the section's table.
func eventsOfPage(t *testing.T) []logEvent {
	t.Helper()
	text, err := os.ReadFile(logsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "\n"+logsSection+"\n")
	if !found {
		t.Fatalf("%s has no section %q", logsPage, logsSection)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var events []logEvent
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(line, "|")
		if len(cells) != 6 {
			t.Fatalf("the table row does not have four cells: %s", line)
		}
		fields := strings.ReplaceAll(strings.TrimSpace(cells[3]), "`", "")
		events = append(events, logEvent{name: strings.Trim(cells[1], " `"), level: strings.TrimSpace(cells[2]), fields: fields})
	}
	return events
}

// eventsOfCode finds the logger calls in the files of the package.
func eventsOfCode(t *testing.T) []logEvent {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var events []logEvent
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				if event, ok := eventOfCall(t, call); ok && !slices.Contains(events, event) {
					events = append(events, event)
				}
			}
			return true
		})
	}
	return events
}

// eventOfCall returns the event of a call such as log.Info(event, field, value, ...). It returns false for other calls.
func eventOfCall(t *testing.T, call *ast.CallExpr) (logEvent, bool) {
	t.Helper()
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) || !isLogger(method.X) {
		return logEvent{}, false
	}
	event := logEvent{name: literal(t, call.Args[0]), level: strings.ToLower(method.Sel.Name)}
	var fields []string
	for i := 1; i < len(call.Args); i += 2 {
		fields = append(fields, literal(t, call.Args[i]))
	}
	event.fields = strings.Join(fields, ", ")
	return event, true
}

// isLogger reports whether an expression is a variable or a field with the name log.
func isLogger(expression ast.Expr) bool {
	switch e := expression.(type) {
	case *ast.Ident:
		return e.Name == "log"
	case *ast.SelectorExpr:
		return e.Sel.Name == "log"
	}
	return false
}

// literal returns the value of a string literal. The names of events and fields have to be literals, so that a text
// search finds the call that logs them.
func literal(t *testing.T, expression ast.Expr) string {
	t.Helper()
	basic, ok := expression.(*ast.BasicLit)
	if !ok {
		t.Fatalf("the name of an event or field is not a literal: %v", expression)
	}
	value, err := strconv.Unquote(basic.Value)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
