package experiment

import (
	"os"
	"path/filepath"
	"testing"

	"dykering/internal/fixture"
)

// A file of runs that a released build has begun is read, and gone on with.
func TestRunsFileOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	const path = "testdata/compatibility/" + RunsFile
	fixture.JSON(t, "testdata/compatibility/run.json", &Run{})
	if fixture.Updating() {
		var h head
		var r Run
		fixture.Fill(&h)
		fixture.Fill(&r)
		f, err := rewrite(path, h, []Run{r})
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
	}
	h, runs, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	copied := filepath.Join(t.TempDir(), RunsFile)
	f, err := rewrite(copied, h, runs)
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	old, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	again, err := os.ReadFile(copied)
	if err != nil {
		t.Fatal(err)
	}
	if string(old) != string(again) {
		t.Errorf("%s: rewritten it differs\n was %s\n now %s", path, old, again)
	}
}
