package faultnet

import (
	"strings"
	"testing"
)

// A schedule with a fault is refused with its line and key, whole.
func TestScheduleFaults(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{"[[step]]\nat = \"1s\"\ndo = \"cut\"\nsets = [[\"a\"], [\"b\"]]\n", ""},
		{"[[step]]\nat = \"1s\"\ndo = \"explode\"\n", "bad.toml:3: step[0].do"},
		{"[[step]]\nat = \"2s\"\ndo = \"heal\"\n[[step]]\nat = \"1s\"\ndo = \"heal\"\n", "step[1].at: comes before"},
		{"[[step]]\nat = \"1s\"\ndo = \"down\"\nfrom = \"a\"\n", "step[0]: missing: down needs from and to"},
		{"[[step]]\nat = \"1s\"\ndo = \"loss\"\nshare = 2\n", "bad.toml:4: step[0].share"},
		{"[[step]]\nat = \"1s\"\ndo = \"kill\"\n", "step[0].member: missing: kill needs a member"},
		{"[[step]]\nat = \"1s\"\ndo = \"cut\"\nsets = [[\"a\"]]\n", "a cut needs two sets"},
	} {
		s, wrong := LoadSchedule("bad.toml", []byte(tc.text))
		switch {
		case tc.want == "" && (len(wrong) > 0 || len(s.Steps) != 1):
			t.Errorf("%q: %v", tc.text, wrong)
		case tc.want != "" && (len(wrong) != 1 || !strings.Contains(wrong[0].Error(), tc.want)):
			t.Errorf("%q: %v, want %q", tc.text, wrong, tc.want)
		}
	}
}
