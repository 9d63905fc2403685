package faultnet

import (
	"strings"
	"testing"
)

// LoadSchedule refuses a schedule with an error and reports the line or the key of the error.
func TestLoadScheduleReportsErrorWithLineAndKey(t *testing.T) {
	for _, testCase := range []struct{ text, want string }{
		{"[[step]]\nat = \"1s\"\ndo = \"cut\"\nsets = [[\"a\"], [\"b\"]]\n", ""},
		{"[[step]]\nat = \"1s\"\ndo = \"explode\"\n", "bad.toml:3: step[0].do"},
		{"[[step]]\nat = \"2s\"\ndo = \"heal\"\n[[step]]\nat = \"1s\"\ndo = \"heal\"\n", "step[1].at: comes before"},
		{"[[step]]\nat = \"1s\"\ndo = \"down\"\nfrom = \"a\"\n", "step[0]: missing: down needs from and to"},
		{"[[step]]\nat = \"1s\"\ndo = \"loss\"\nshare = 2\n", "bad.toml:4: step[0].share"},
		{"[[step]]\nat = \"1s\"\ndo = \"kill\"\n", "step[0].member: missing: kill needs a member"},
		{"[[step]]\nat = \"1s\"\ndo = \"cut\"\nsets = [[\"a\"]]\n", "a cut needs two sets"},
	} {
		s, found := LoadSchedule("bad.toml", []byte(testCase.text))
		switch {
		case testCase.want == "" && (len(found) > 0 || len(s.Steps) != 1):
			t.Errorf("%q: schedule %+v, errors %v, want 1 step without errors", testCase.text, s, found)
		case testCase.want != "" && (len(found) != 1 || !strings.Contains(found[0].Error(), testCase.want)):
			t.Errorf("%q: errors %v, want one with %q", testCase.text, found, testCase.want)
		}
	}
}
