package experiment

import (
	"os"
	"path/filepath"
	"testing"

	"dykering/internal/fixture"
)

// A file of runs of a released build is read, and written again without a difference.
func TestRunsFileOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	const path = "testdata/compatibility/" + RunsFile
	fixture.JSON(t, "testdata/compatibility/run.json", &Run{})
	if fixture.Updating() {
		var h runsHeader
		var r Run
		fixture.Fill(&h)
		fixture.Fill(&r)
		f, err := rewriteRunsFile(path, h, []Run{r})
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
	}
	h, runs, err := readRunsFile(path)
	if err != nil {
		t.Fatal(err)
	}
	copied := filepath.Join(t.TempDir(), RunsFile)
	f, err := rewriteRunsFile(copied, h, runs)
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rewritten, err := os.ReadFile(copied)
	if err != nil {
		t.Fatal(err)
	}
	if string(original) != string(rewritten) {
		t.Errorf("%s differs after it was read and rewritten:\n original  %s\n rewritten %s", path, original, rewritten)
	}
}
