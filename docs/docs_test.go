// Package docs_test checks that the pages name only what exists: links, files, packages and identifiers of the code.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const root = ".."

// records describe the state of a past day: the names in them remain those of that day.
var records = []string{"docs/incidents", "docs/review-of-parts.md", "docs/STUDY-SCALE.md", "docs/ROADMAP.md", "CHANGELOG.md"}

var (
	link     = regexp.MustCompile(`\]\(([^)#:\s]+)(#[^)\s]*)?\)`)
	heading  = regexp.MustCompile(`(?m)^#+ (.+)$`)
	notWords = regexp.MustCompile(`[^\w\s-]`) // what an anchor leaves out of its heading
	code     = regexp.MustCompile("`([^`\n]+)`")
	filePath = regexp.MustCompile(`^(internal|cmd|client|deploy|docs|lab|tools)/[\w./-]+$`)
	goFile   = regexp.MustCompile(`^[\w/]*\w+\.go$`)
	place    = regexp.MustCompile("`([\\w/]+\\.go)`((?:, `\\w+`)+)")
	testName = regexp.MustCompile(`^(Test|Fuzz|Example)[A-Z]\w*$`)
	pageName = regexp.MustCompile(`^[\w-]+\.md$`)
	selector = regexp.MustCompile(`^([a-z]\w*)\.([A-Z]\w*|[a-z]+[A-Z]\w*)(?:\.([A-Z]\w*|[a-z]+[A-Z]\w*))?$`)
)

func TestEveryLinkOfThePagesLeadsToAFile(t *testing.T) {
	for _, page := range pages(t) {
		for _, match := range link.FindAllStringSubmatch(page.text, -1) {
			target := filepath.Join(root, filepath.Dir(page.path), match[1])
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s links to %s, which does not exist", page.path, match[1])
			}
		}
	}
}

func TestEveryAnchorOfALinkIsAHeading(t *testing.T) {
	for _, page := range pages(t) {
		for _, match := range link.FindAllStringSubmatch(page.text, -1) {
			if match[2] == "" {
				continue
			}
			target, err := os.ReadFile(filepath.Join(root, filepath.Dir(page.path), match[1]))
			if err != nil {
				t.Error(err)
				continue
			}
			if !slices.Contains(anchors(string(target)), match[2]) {
				t.Errorf("%s links to %s%s, which is no heading of that page", page.path, match[1], match[2])
			}
		}
	}
}

func TestEveryPageIsInTheIndex(t *testing.T) {
	index, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range pages(t) {
		inDocs := filepath.Dir(page.path) == "docs" && page.path != "docs/README.md"
		if inDocs && !strings.Contains(string(index), "("+filepath.Base(page.path)+")") {
			t.Errorf("docs/README.md does not list %s", page.path)
		}
	}
}

func TestEveryFileThatAPageNamesExists(t *testing.T) {
	for _, page := range pages(t) {
		if isRecord(page.path) {
			continue
		}
		for _, match := range code.FindAllStringSubmatch(page.text, -1) {
			name := strings.TrimSuffix(match[1], "/")
			switch {
			case filePath.MatchString(name):
				requireFile(t, page.path, name, root)
			case pageName.MatchString(name):
				requireFile(t, page.path, name, root, filepath.Join(root, "docs"))
			}
		}
	}
}

func TestEveryGoFileThatAPageNamesExists(t *testing.T) {
	paths := goFiles(t)
	for _, page := range pages(t) {
		if isRecord(page.path) {
			continue
		}
		for _, match := range code.FindAllStringSubmatch(page.text, -1) {
			named := "/" + match[1]
			exists := slices.ContainsFunc(paths, func(path string) bool { return strings.HasSuffix(path, named) })
			if goFile.MatchString(match[1]) && !exists {
				t.Errorf("%s names %s, which does not exist", page.path, match[1])
			}
		}
	}
}

// A page that names a place in the code does so by file and identifier, as lines move: `log.go`, `append`.
func TestEveryPlaceInTheCodeThatAPageNamesExists(t *testing.T) {
	paths := goFiles(t)
	for _, page := range pages(t) {
		if isRecord(page.path) {
			continue
		}
		for _, match := range place.FindAllStringSubmatch(page.text, -1) {
			declared := map[string]bool{}
			for _, path := range paths {
				if strings.HasSuffix(path, "/"+match[1]) {
					collect(parse(t, path), declared)
				}
			}
			for _, identifier := range code.FindAllStringSubmatch(match[2], -1) {
				if len(declared) > 0 && !declared[identifier[1]] {
					t.Errorf("%s names %s in %s, which declares none", page.path, identifier[1], match[1])
				}
			}
		}
	}
}

func TestEveryTestThatAPageNamesExists(t *testing.T) {
	declared := map[string]bool{}
	for _, names := range declarations(t) {
		for name := range names {
			declared[name] = true
		}
	}
	for _, page := range pages(t) {
		if isRecord(page.path) {
			continue
		}
		for _, match := range code.FindAllStringSubmatch(page.text, -1) {
			if testName.MatchString(match[1]) && !declared[match[1]] {
				t.Errorf("%s names %s, which does not exist", page.path, match[1])
			}
		}
	}
}

func TestEveryIdentifierThatAPageNamesIsDeclared(t *testing.T) {
	declared := declarations(t)
	for _, page := range pages(t) {
		if isRecord(page.path) {
			continue
		}
		for _, match := range code.FindAllStringSubmatch(page.text, -1) {
			parts := selector.FindStringSubmatch(match[1])
			if parts == nil || declared[parts[1]] == nil {
				continue
			}
			for _, identifier := range parts[2:] {
				if identifier != "" && !declared[parts[1]][identifier] {
					t.Errorf("%s names %s: package %s declares no %s", page.path, match[0], parts[1], identifier)
				}
			}
		}
	}
}

// page is a Markdown file, with its path from the project's root.
type page struct {
	path string
	text string
}

func pages(t *testing.T) []page {
	t.Helper()
	var found []page
	for _, folder := range []string{"docs", "."} {
		paths, err := filepath.Glob(filepath.Join(root, folder, "*.md"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, page{path: filepath.ToSlash(filepath.Join(folder, filepath.Base(path))), text: string(text)})
		}
	}
	if len(found) == 0 {
		t.Fatal("no pages found")
	}
	return found
}

// anchors gives the anchors of a page's headings, as the web pages of the common hosts form them.
func anchors(text string) []string {
	var found []string
	for _, match := range heading.FindAllStringSubmatch(text, -1) {
		words := strings.ToLower(strings.TrimSpace(match[1]))
		found = append(found, "#"+strings.ReplaceAll(notWords.ReplaceAllString(words, ""), " ", "-"))
	}
	return found
}

func isRecord(path string) bool {
	return slices.ContainsFunc(records, func(record string) bool { return strings.HasPrefix(path, record) })
}

func requireFile(t *testing.T, page, name string, folders ...string) {
	t.Helper()
	exists := slices.ContainsFunc(folders, func(folder string) bool {
		_, err := os.Stat(filepath.Join(folder, name))
		return err == nil
	})
	if !exists {
		t.Errorf("%s names %s, which does not exist", page, name)
	}
}

// goFiles gives the paths of all Go files of the project.
func goFiles(t *testing.T) []string {
	t.Helper()
	var paths []string
	for _, folder := range []string{"internal", "cmd", "docs", "client"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if strings.HasSuffix(path, ".go") {
				paths = append(paths, filepath.ToSlash(path))
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return paths
}

// declarations gives, by package name, all identifiers that the package declares: types, functions, methods, fields, values.
// Tests in a package of their own count for the package that they test.
func declarations(t *testing.T) map[string]map[string]bool {
	t.Helper()
	declared := map[string]map[string]bool{}
	for _, path := range goFiles(t) {
		file := parse(t, path)
		name := strings.TrimSuffix(file.Name.Name, "_test")
		if declared[name] == nil {
			declared[name] = map[string]bool{}
		}
		collect(file, declared[name])
	}
	return declared
}

func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// collect adds all identifiers that a file declares.
func collect(file *ast.File, names map[string]bool) {
	ast.Inspect(file, func(node ast.Node) bool {
		switch declaration := node.(type) {
		case *ast.FuncDecl:
			names[declaration.Name.Name] = true
		case *ast.TypeSpec:
			names[declaration.Name.Name] = true
		case *ast.ValueSpec:
			for _, identifier := range declaration.Names {
				names[identifier.Name] = true
			}
		case *ast.Field:
			for _, identifier := range declaration.Names {
				names[identifier.Name] = true
			}
		}
		return true
	})
}
