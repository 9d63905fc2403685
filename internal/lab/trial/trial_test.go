package trial

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// fakeBench is a shell script that writes a report like the benchmark. The worth is the content of the file "worth" in its working
// folder plus a thousandth of the seed. The script appends each call to the file "calls".
const fakeBench = `#!/bin/sh
echo "$@" >> calls
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed=$2; shift ;;
    --report) report=$2; shift ;;
  esac
  shift
done
[ -f worth ] || { echo "it does not build"; exit 1; }
worth=$(cat worth)$(printf %02d "$seed")
cat > "$report" <<END
{"G": $worth, "served": 0.9, "fault": null, "parts": [["whole day", 0.4, 0.9]], "prices": [["orders", 3, 0.01]],
 "breaks": $(cat breaks 2>/dev/null || echo '{}'), "classes": [{"name": "review", "n": 5, "worth": 0.8}], "zones": [], "ends": {"200": $seed}, "short": []}
END
exit 1
`

// testBench is a trial with a fake benchmark, two source trees and a site with two days.
type testBench struct{ spec Spec }

func newTestBench(t *testing.T) *testBench {
	t.Helper()
	folder := t.TempDir()
	write := func(path, text string, mode os.FileMode) string {
		whole := filepath.Join(folder, path)
		Expect(os.MkdirAll(filepath.Dir(whole), 0o755)).To(Succeed())
		Expect(os.WriteFile(whole, []byte(text), mode)).To(Succeed())
		return whole
	}
	write("base/worth", "0.5", 0o644)
	write("changed/worth", "0.6", 0o644)
	site := write("harbour.toml", "[[day]]\nname = \"quiet\"\n[[day]]\nname = \"storm\"\n", 0o644)
	return &testBench{spec: Spec{
		Bench: write("bench", fakeBench, 0o755), Sites: []string{site}, Seeds: []uint64{1, 2, 3}, Parallel: 3, Reason: "a test",
		Variants: []Variant{{Name: "base", Tree: filepath.Join(folder, "base")}, {Name: "changed", Tree: filepath.Join(folder, "changed")}},
		Results:  filepath.Join(folder, "results"),
	}}
}

func (b *testBench) run() ([]Outcome, error) {
	return Run(context.Background(), &b.spec, func(int, int) {})
}

func (b *testBench) calls(variant int) int {
	text, _ := os.ReadFile(filepath.Join(b.spec.Variants[variant].Tree, "calls"))
	return strings.Count(string(text), "\n")
}

func TestAllDaysOfASiteArePlayedWithAllSeedsByBothVariants(t *testing.T) {
	RegisterTestingT(t)
	b := newTestBench(t)
	outcomes, err := b.run()
	Expect(err).NotTo(HaveOccurred())
	Expect(outcomes).To(HaveLen(6))
	for _, o := range outcomes {
		Expect(o.Reports[1].Worth - o.Reports[0].Worth).To(BeNumerically("~", 0.1, 1e-9))
	}
	Expect(b.calls(0)).To(Equal(6))
}

func TestPlayWithStoredResultIsSkipped(t *testing.T) {
	RegisterTestingT(t)
	b := newTestBench(t)
	_, err := b.run()
	Expect(err).NotTo(HaveOccurred())
	Expect(os.Remove(filepath.Join(b.spec.Results, "changed", "harbour-storm-2.json"))).To(Succeed())
	outcomes, err := b.run()
	Expect(err).NotTo(HaveOccurred())
	Expect(outcomes).To(HaveLen(6))
	Expect([]int{b.calls(0), b.calls(1)}).To(Equal([]int{6, 7}))
}

func TestFailedBuildEndsTheTrialWithItsLastOutputLine(t *testing.T) {
	RegisterTestingT(t)
	b := newTestBench(t)
	Expect(os.Remove(filepath.Join(b.spec.Variants[1].Tree, "worth"))).To(Succeed())
	_, err := b.run()
	Expect(err).To(MatchError(ContainSubstring("it does not build")))
}

func TestTableContainsPairedDifferencesWithTheirError(t *testing.T) {
	RegisterTestingT(t)
	b := newTestBench(t)
	outcomes, err := b.run()
	Expect(err).NotTo(HaveOccurred())
	var table strings.Builder
	Expect(Write(&table, b.spec.Variants, outcomes)).To(Succeed())
	Expect(table.String()).To(MatchRegexp(`worth on storm +3 +0\.5020 +0\.6020 +\+0\.1000 +0\.0000 +\*`))
	Expect(table.String()).To(MatchRegexp(`price: orders +6 +0\.0100 +0\.0100 +\+0\.0000`))
	Expect(table.String()).NotTo(ContainSubstring("rules broken"))
}

func TestBrokenRulesAreNamed(t *testing.T) {
	RegisterTestingT(t)
	b := newTestBench(t)
	Expect(os.WriteFile(filepath.Join(b.spec.Variants[1].Tree, "breaks"), []byte(`{"TWICE": 1}`), 0o644)).To(Succeed())
	outcomes, err := b.run()
	Expect(err).NotTo(HaveOccurred())
	var table strings.Builder
	Expect(Write(&table, b.spec.Variants, outcomes)).To(Succeed())
	Expect(strings.Count(table.String(), "rules broken [TWICE]")).To(Equal(6), fmt.Sprint(table.String()))
}
