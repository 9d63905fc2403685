package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"dykering/internal/commandline"
	"dykering/internal/fixture"
	"dykering/internal/operator"
)

// fixedPage lists the names that clients, the platform and operators rely on. The tests in this file compare the page with the
// code in both directions.
const fixedPage = "../../docs/FIXED.md"

func TestCommandsAndFlagsAreThoseOfThePage(t *testing.T) {
	fixture.SameCommands(t, fixedPage, "Commands of dykering", newRoot())
}

func TestExitCodesAreThoseOfThePage(t *testing.T) {
	code := []string{
		strconv.Itoa(commandline.ExitOK) + " done",
		strconv.Itoa(commandline.ExitFailure) + " fault",
		strconv.Itoa(commandline.ExitUsage) + " usage",
	}
	fixture.SameNames(t, "exit codes", fixture.Names(t, fixedPage, "Exit codes"), code)
}

func TestOperatorKeysAreThoseOfThePage(t *testing.T) {
	var code []string
	for _, value := range operator.Defaults().Values() {
		code = append(code, value.Key)
	}
	fixture.SameNames(t, "operator's file", fixture.Names(t, fixedPage, "Keys of the operator's file"), code)
}

// programFolders are the source folders of the programs, from which excludedFolders are left out.
var programFolders = []string{"../../internal", "."}

// excludedFolders belong to dykering-lab, or are used only by tests.
var excludedFolders = []string{"../../internal/lab", "../../internal/fixture"}

// eachSource calls a function for each source file of the programs.
func eachSource(t *testing.T, do func(folder string, file *ast.File)) {
	t.Helper()
	files := token.NewFileSet()
	for _, root := range programFolders {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && (slices.Contains(excludedFolders, path) || entry.Name() == "testdata"):
				return fs.SkipDir
			case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err == nil {
				do(filepath.Dir(path), file)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// literals returns the string literals of the programs that match a pattern.
func literals(t *testing.T, pattern *regexp.Regexp) (all []string) {
	t.Helper()
	eachSource(t, func(_ string, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			if _, isTag := n.(*ast.Field); isTag {
				return true
			}
			if text, ok := literal(n); ok && pattern.MatchString(text) {
				all = append(all, pattern.FindString(text))
			}
			return true
		})
	})
	return all
}

// literal returns the value of a string literal.
func literal(n ast.Node) (string, bool) {
	basic, ok := n.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}

var (
	headerName = regexp.MustCompile(`^(X-[A-Za-z-]+|Idempotency-Key|Retry-After)$`)
	pathName   = regexp.MustCompile(`^((GET|POST) )?/(-/[a-z/]+|v1/[a-z]+|ready|report|order|metrics|explain|status|heartbeat|drain|[a-z]+/\{id\}/[a-z]+|(numbers|watch)/\{id\}|configuration/[a-z]+)$`)
	eventName  = regexp.MustCompile(`^[a-z]+(\.[a-z_]+)+$`)
)

func TestHeadersAreThoseOfThePage(t *testing.T) {
	fixture.SameNames(t, "headers", fixture.Names(t, fixedPage, "Headers"), literals(t, headerName))
}

func TestPathsAreThoseOfThePage(t *testing.T) {
	fixture.SameNames(t, "paths", fixture.Names(t, fixedPage, "Paths"), literals(t, pathName))
}

// publicJSONFolders matches the packages whose JSON other programs read or write.
var publicJSONFolders = regexp.MustCompile(`internal/(dataplane|controlplane|sessions|fleetconfig|config|settings|core|fleet/.*)$`)

func TestJSONKeysAreThoseOfThePage(t *testing.T) {
	var code []string
	eachSource(t, func(folder string, file *ast.File) {
		if publicJSONFolders.MatchString(folder) {
			code = append(code, tagsOf(file, "json")...)
		}
	})
	fixture.SameNames(t, "JSON keys", fixture.Names(t, fixedPage, "JSON keys"), code)
}

func TestSettingsFileKeysAreThoseOfThePage(t *testing.T) {
	var code []string
	eachSource(t, func(folder string, file *ast.File) {
		if strings.HasSuffix(folder, "internal/nodefile") {
			code = append(code, tagsOf(file, "toml")...)
		}
	})
	fixture.SameNames(t, "settings file", fixture.Names(t, fixedPage, "Keys of the settings file"), code)
}

// tagsOf returns the names in the struct tags of a file for an encoding.
func tagsOf(file *ast.File, encoding string) (names []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		field, ok := n.(*ast.Field)
		if !ok || field.Tag == nil {
			return true
		}
		tag, err := strconv.Unquote(field.Tag.Value)
		if err != nil {
			return true
		}
		name, _, _ := strings.Cut(reflect.StructTag(tag).Get(encoding), ",")
		if name != "" && name != "-" {
			names = append(names, name)
		}
		return true
	})
	return names
}

// logMethods are the methods whose first argument, or second after the level, is the name of an event.
var logMethods = []string{"Debug", "Info", "Warn", "Error", "Check"}

// logEvents returns the names of the events that the programs log.
func logEvents(t *testing.T) (events []string) {
	t.Helper()
	eachSource(t, func(_ string, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				method, ok := n.Fun.(*ast.SelectorExpr)
				if ok && slices.Contains(logMethods, method.Sel.Name) {
					events = append(events, firstEvent(n.Args)...)
				}
			case *ast.ValueSpec:
				if strings.HasPrefix(n.Names[0].Name, "Event") {
					events = append(events, firstEvent(n.Values)...)
				}
			}
			return true
		})
	})
	slices.Sort(events)
	return slices.Compact(events)
}

func firstEvent(arguments []ast.Expr) []string {
	for _, argument := range arguments {
		if text, ok := literal(argument); ok && eventName.MatchString(text) {
			return []string{text}
		}
	}
	return nil
}

// A renamed log event must have its former name in the page and in CHANGELOG.md, since operators' alerts may match it.
func TestLogEventsAreThoseOfThePage(t *testing.T) {
	var page, former []string
	for _, row := range fixture.Table(t, fixedPage, "Log events") {
		page = append(page, row[0]...)
		former = append(former, row[1]...)
	}
	fixture.SameNames(t, "log events", page, logEvents(t))
	changes, err := os.ReadFile("../../CHANGELOG.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range former {
		if !strings.Contains(string(changes), "`"+name+"`") {
			t.Errorf("log events: CHANGELOG.md does not have the former name %q", name)
		}
	}
	released := fixture.Bytes(t, "testdata/compatibility/log-events.txt", func() []byte {
		return []byte(strings.Join(logEvents(t), "\n") + "\n")
	})
	for _, name := range strings.Fields(string(released)) {
		if !slices.Contains(page, name) && !slices.Contains(former, name) {
			t.Errorf("log events: %q of released builds is neither in the page nor a former name", name)
		}
	}
}

// Each table of the page is compared by a test.
func TestHeadingsOfThePageAreTested(t *testing.T) {
	text, err := os.ReadFile(fixedPage)
	if err != nil {
		t.Fatal(err)
	}
	var headings []string
	for line := range strings.Lines(string(text)) {
		if heading, ok := strings.CutPrefix(line, "## "); ok {
			headings = append(headings, strings.TrimSpace(heading))
		}
	}
	tested := []string{
		"Commands of dykering", "Commands of dykering-lab", "Exit codes", "Headers", "Paths", "JSON keys",
		"Keys of the operator's file", "Keys of the settings file", "Metrics of the control process", "Metrics of the proxy",
		"Log events",
	}
	fixture.SameNames(t, "headings", headings, tested)
}

// Each name occurs once in its table: of two rows with the same name, one would be unchecked.
func TestNamesOfThePageAreUniqueWithinATable(t *testing.T) {
	for _, heading := range []string{"Headers", "Paths", "Keys of the operator's file", "Log events"} {
		names := fixture.Names(t, fixedPage, heading)
		slices.Sort(names)
		if compact := slices.Compact(slices.Clone(names)); len(compact) != len(names) {
			t.Errorf("%s: a name occurs twice", heading)
		}
	}
}
