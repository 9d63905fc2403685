package gobcompat

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// mostDifferences bounds the lines that a failed comparison reports.
const mostDifferences = 10

// CompareWithFile fails a test where a text is not that of a file, and reports the first lines that differ.
func CompareWithFile(t *testing.T, path, text string) {
	t.Helper()
	expected, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if text != string(expected) {
		t.Errorf("differs from %s:\n%s", path, differences(string(expected), text))
	}
}

// differences lists the lines that only one of two texts has.
func differences(expected, got string) string {
	var report []string
	add := func(sign, text, other string) {
		known := map[string]bool{}
		for line := range strings.Lines(other) {
			known[line] = true
		}
		count := 0
		for line := range strings.Lines(text) {
			if known[line] {
				continue
			}
			if count++; count <= mostDifferences {
				report = append(report, sign+" "+strings.TrimSuffix(line, "\n"))
			}
		}
		report = append(report, fmt.Sprintf("%s %d lines in all", sign, count))
	}
	add("-", expected, got)
	add("+", got, expected)
	return strings.Join(report, "\n")
}

// WriteFile writes a file of a fixture.
func WriteFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}
