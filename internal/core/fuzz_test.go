package core

import (
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// FuzzList checks the endpoint table with arbitrary lists, each applied twice. IDs and uids correspond one to one, a full
// list removes all endpoints that it omits, repeating a list retires no endpoint that is ready, and the number of zone and
// model names is bounded.
func FuzzList(f *testing.F) {
	f.Add([]byte(`{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:80","az":"z","model":"m","state":"Ready","weight":1}]}`))
	f.Add([]byte(`{"rev":2,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:80","az":"z","model":"m","state":"Gone"},{"uid":"x","endpoint":"h:1","state":"Terminating"}]}`))
	f.Add([]byte(`{"all":true,"targets":[{"uid":"a-7","endpoint":"h:1","state":"Ready"},{"uid":"b-7","endpoint":"h:2","state":"Ready","weight":-1,"boot_ms":-5}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var l List
		if json.Unmarshal(text, &l) != nil {
			return
		}
		table := newEndpointTable([]string{"z"}, []string{"m"}, time.Now(), zap.NewNop())
		for round := range 2 {
			entries, retired := table.update(l)
			named := map[string]bool{}
			ready := map[decision.EndpointID]bool{}
			for _, x := range l.Targets {
				named[x.UID] = true
			}
			for _, e := range entries {
				ready[e.Endpoint] = e.State == decision.Ready
				if e.Started < 0 || e.Zone < 0 || e.Zone > maxNames || e.Kind > maxNames {
					t.Fatalf("%q: entry out of range: %+v", text, e)
				}
			}
			if len(table.ids) != len(table.byID) {
				t.Fatalf("%q: the table has %d uids and %d IDs", text, len(table.ids), len(table.byID))
			}
			for id, e := range table.byID {
				if e.ID != id || table.ids[e.uid] != id || l.Full && !named[e.uid] {
					t.Fatalf("%q: inconsistent or omitted endpoint %+v is in the table", text, e)
				}
			}
			occurrences := map[string]int{}
			for _, x := range l.Targets {
				occurrences[x.UID]++
			}
			for _, e := range retired {
				if round == 1 && occurrences[e.uid] == 1 && ready[e.ID] && table.byID[e.ID] != nil {
					t.Fatalf("%q: applying the list again retires %s, which is ready", text, e.uid)
				}
			}
		}
	})
}
