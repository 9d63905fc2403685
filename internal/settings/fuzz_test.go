package settings

import "testing"

// FuzzParse checks that settings which pass Parse and Check have no negative times or counts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"allowed":{"cancel":true,"connectTimeout":100000,"sendCap":3},"instances":1,"quantum":1000,"rules":{"cold":10,"coldFrom":0.2,"fall":1,"tipMultiple":3},"services":[{"name":"a","aim":1,"deadline":2,"effect":"read_like","keyScope":"all"}]}`))
	f.Add([]byte(`{"instances":-1,"services":[{"deadline":-5}]}`))
	f.Add([]byte(`{"rules":{"coldFrom":1e300}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, _, err := Parse(text)
		if err != nil || s.Check() != nil {
			return
		}
		if s.Instances < 0 || s.Ordinal < 0 || s.Quantum < 0 || s.ConnectTimeout < 0 || s.MaxRetryAfter < 0 {
			t.Fatalf("%q is accepted: %+v", text, s)
		}
		for _, c := range s.Classes {
			if c.Deadline < 0 || c.LatencyTarget < 0 || c.Window < 0 {
				t.Fatalf("%q is accepted: %+v", text, c)
			}
		}
	})
}
