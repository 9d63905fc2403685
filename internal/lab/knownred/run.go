package knownred

import (
	"bytes"
	"context"
	"io"
	"os/exec"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// Runner runs tests with the Go tool.
type Runner struct {
	// Directory is the root of the repository.
	Directory string
	// Flags are added to each invocation of go test.
	Flags       []string
	Out, ErrOut io.Writer
}

// Check returns an error that lists all entries whose package has no matching test.
func (r *Runner) Check(ctx context.Context, entries []Failure) error {
	var unmatched []string
	for _, entry := range entries {
		tests, err := r.testsOf(ctx, entry)
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(tests, entry.matches) {
			unmatched = append(unmatched, errors.Errorf("%s:%d: %s has no test %s", FileName, entry.Line, entry.Package, entry.Test).Error())
		}
	}
	if len(unmatched) > 0 {
		return errors.New(strings.Join(unmatched, "\n"))
	}
	return nil
}

// testsOf lists the top-level tests of an entry's package.
func (r *Runner) testsOf(ctx context.Context, entry Failure) ([]string, error) {
	lines, err := r.lines(ctx, "test", "-list", "^(Test|Fuzz|Example)", localPath(entry.Package))
	if err != nil {
		return nil, errors.Wrapf(err, "%s:%d: tests of %s", FileName, entry.Line, entry.Package)
	}
	return lines, nil
}

// Test runs the tests of the packages and skips those of the entries. It runs a package with entries separately, so that tests of the
// same name in other packages still run. It runs all tests before it returns an error for a failed one.
func (r *Runner) Test(ctx context.Context, entries []Failure, packages []string) error {
	invocations, err := r.plan(ctx, entries, packages)
	if err != nil {
		return err
	}
	var failed error
	for _, arguments := range invocations {
		command := r.command(ctx, arguments...)
		command.Stdout, command.Stderr = r.Out, r.ErrOut
		if err := command.Run(); err != nil {
			failed = errors.Wrap(err, "go test")
		}
	}
	return failed
}

// plan returns the arguments of each invocation of the Go tool.
func (r *Runner) plan(ctx context.Context, entries []Failure, packages []string) ([][]string, error) {
	patterns, err := r.skipPatterns(ctx, entries)
	if err != nil {
		return nil, err
	}
	test := append([]string{"test"}, r.Flags...)
	if len(patterns) == 0 {
		return [][]string{slices.Concat(test, packages)}, nil
	}
	paths, err := r.lines(ctx, slices.Concat([]string{"list"}, packages)...)
	if err != nil {
		return nil, err
	}
	affected, others := lo.FilterReject(paths, func(path string, _ int) bool { return len(patterns[path]) > 0 })
	var invocations [][]string
	if len(others) > 0 {
		invocations = append(invocations, slices.Concat(test, others))
	}
	for _, path := range affected {
		invocations = append(invocations, slices.Concat(test, []string{"-skip", strings.Join(patterns[path], "|"), path}))
	}
	return invocations, nil
}

// skipPatterns returns the skip patterns of the entries, grouped by the import path of their package.
func (r *Runner) skipPatterns(ctx context.Context, entries []Failure) (map[string][]string, error) {
	patterns := map[string][]string{}
	for _, entry := range entries {
		paths, err := r.lines(ctx, "list", localPath(entry.Package))
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", FileName, entry.Line)
		}
		if len(paths) != 1 {
			return nil, errors.Errorf("%s:%d: %s matches %d packages, expected one", FileName, entry.Line, entry.Package, len(paths))
		}
		patterns[paths[0]] = append(patterns[paths[0]], entry.skipPattern())
	}
	return patterns, nil
}

// localPath converts a path relative to the root into the form that the Go tool accepts.
func localPath(path string) string { return "./" + strings.TrimPrefix(path, "./") }

// lines runs the Go tool and returns the words of its output, of which each line has one.
func (r *Runner) lines(ctx context.Context, arguments ...string) ([]string, error) {
	command := r.command(ctx, arguments...)
	var out, errOut bytes.Buffer
	command.Stdout, command.Stderr = &out, &errOut
	if err := command.Run(); err != nil {
		return nil, errors.Wrapf(err, "go %s: %s", arguments[0], strings.TrimSpace(errOut.String()+out.String()))
	}
	return strings.Fields(out.String()), nil
}

func (r *Runner) command(ctx context.Context, arguments ...string) *exec.Cmd {
	command := exec.CommandContext(ctx, "go", arguments...)
	command.Dir = r.Directory
	return command
}
