package knownred

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestKnownRed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tests that are known to fail")
}

var _ = DescribeTable("an invalid entry", func(line, message string) {
	_, err := parse(strings.NewReader("# a comment\n\n" + line + "\n"))
	Expect(err).To(MatchError(And(HavePrefix(FileName+":3: "), ContainSubstring(message))))
},
	Entry("with a field missing", "internal/chain | TestA | go test | a hang", "4 fields in place of 5"),
	Entry("with a field too many", "a | TestA | go test | a hang | #1 | #2", "6 fields in place of 5"),
	Entry("with an empty field", "a | TestA |  | a hang | #1", `"command and seed" is empty`),
	Entry("with an invalid pattern", "a | Test(A | go test | a hang | #1", "missing closing"),
)

// sources is the module of the specs. The packages one and two have failing tests of the same name.
var sources = map[string]string{
	"go.mod":               "module example\n",
	"one/one_test.go":      "package one\nimport \"testing\"\nfunc TestRed(t *testing.T) { t.Error(\"one is red\") }\nfunc TestRedder(*testing.T) {}\n",
	"two/two_test.go":      "package two\nimport \"testing\"\nfunc TestRed(t *testing.T) { t.Error(\"two is red\") }\n",
	"three/three_test.go":  "package three\nimport \"testing\"\nfunc TestTable(t *testing.T) { t.Run(\"a\", func(t *testing.T) { t.Error(\"a is red\") }); t.Run(\"b\", func(*testing.T) {}) }\n",
	"four/nothing_here.go": "package four\n",
}

var _ = Describe("a run of tests", Ordered, func() {
	var runner *Runner
	var out *bytes.Buffer

	BeforeAll(func() {
		directory := GinkgoT().TempDir()
		for name, text := range sources {
			path := filepath.Join(directory, name)
			Expect(os.MkdirAll(filepath.Dir(path), 0o700)).To(Succeed())
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		}
		runner = &Runner{Directory: directory, Flags: []string{"-count=1", "-v"}}
	})
	BeforeEach(func() {
		out = &bytes.Buffer{}
		runner.Out, runner.ErrOut = out, out
	})

	It("runs all tests without the file", func(ctx SpecContext) {
		entries, err := Read(filepath.Join(runner.Directory, FileName))
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(BeEmpty())
		Expect(runner.Check(ctx, entries)).To(Succeed())
		Expect(runner.plan(ctx, entries, []string{"./one", "./two"})).To(Equal([][]string{{"test", "-count=1", "-v", "./one", "./two"}}))
		Expect(runner.Test(ctx, entries, []string{"./one", "./two"})).To(MatchError(ContainSubstring("go test")))
		Expect(out.String()).To(And(ContainSubstring("one is red"), ContainSubstring("two is red")))
	})

	It("skips exactly the tests of the entries", func(ctx SpecContext) {
		entries, err := parse(strings.NewReader("one | TestRed | go test | red | #1\n./three | TestTable/a|c | go test | red | #2\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(runner.Check(ctx, entries)).To(Succeed())
		Expect(runner.Test(ctx, entries, []string{"./one", "example/three", "./four"})).To(Succeed(), out.String())
		Expect(out.String()).To(And(ContainSubstring("--- PASS: TestRedder"), ContainSubstring("--- PASS: TestTable/b")))
		Expect(runner.Test(ctx, entries, []string{"./one", "./two"})).NotTo(Succeed())
		Expect(out.String()).To(And(ContainSubstring("two is red"), Not(ContainSubstring("one is red"))))
	})

	DescribeTable("rejects an entry that matches no test", func(ctx SpecContext, line, message string) {
		entries, err := parse(strings.NewReader(line))
		Expect(err).NotTo(HaveOccurred())
		Expect(runner.Check(ctx, entries)).To(MatchError(ContainSubstring(message)))
	},
		Entry("because its package has no such test", "one | TestRe | go test | red | #1", "KNOWN-RED.txt:1: one has no test TestRe"),
		Entry("because its package has no tests", "four | Test.* | go test | red | #1", "KNOWN-RED.txt:1: four has no test"),
		Entry("because its package does not exist", "five | TestRed | go test | red | #1", "KNOWN-RED.txt:1: tests of five"),
	)
})
