package wire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const settingsText = `{"allowed":{"cancel":true,"connectTimeout":100000,"maxRetryAfter":0,"mayProbe":false,"peers":false,` +
	`"retryAfter":true,"secondCopies":false,"sendCap":3},"clientHabits":{"marksRetry":false},"discovery":"push",` +
	`"familyInfo":{"passesDeadline":true},"instances":1,"ordinal":0,"quantum":1000,"overShareWorth":0.1,` +
	`"rules":{"cold":10000000,"coldFrom":0.2,"fall":1000000,"tipMultiple":3},"stage":0,"tenants":[],` +
	`"services":[{"name":"a","aim":1000000,"deadline":2000000,"gain":1,"lateValue":0,"effect":"read_like",` +
	`"keyScope":"all","window":0,"streamed":false}]}`

// batch returns the text of a batch of events at a time in microseconds.
func batch(clock string, events ...string) string {
	return "begin_batch " + clock + "\n" + strings.Join(append(events, "over_to_you"), "\n") + "\n"
}

// start returns the event that starts an instance.
func start(instance string) string { return "new_instance " + instance + " 42 " + settingsText }

// run passes the input to Run and returns the replies, the notices and the error's text.
func run(t *testing.T, input string) (out, notices, errText string) {
	t.Helper()
	var o, n bytes.Buffer
	if err := Run(strings.NewReader(input), &o, &n); err != nil {
		errText = err.Error()
	}
	return o.String(), n.String(), errText
}

// expectReply checks that an input gets the given replies and no error.
func expectReply(t *testing.T, input, want string) {
	t.Helper()
	out, _, errText := run(t, input)
	if errText != "" || out != want {
		t.Errorf("got\n%s(error %q)\nwant\n%s", out, errText, want)
	}
}

// oneEndpoint is the events that start instance 3 and give it one endpoint.
var oneEndpoint = []string{start("3"), "ledger 0 1", "item 77 0 0 0 2 1.5 -", "targets 3 2 0 41"}

// withOneEndpoint returns the events of oneEndpoint followed by more.
func withOneEndpoint(more ...string) []string {
	return append(append([]string{}, oneEndpoint...), more...)
}

func TestEmptyBatchAndCleanEnd(t *testing.T) {
	expectReply(t, batch("8412250"), "eor\n")
	expectReply(t, "", "")
}

func TestRequestIsSentAndServed(t *testing.T) {
	expectReply(t, batch("1000000", withOneEndpoint("knock 3 t/a 0 - - 2000000 - 0")...)+
		batch("1020000", "closed_attempt 3 t/a 77 1 20000 100 0 inflight:3,queue:0"),
		"dispatch 3 t/a 77 0\nremind 3 0 4000\neor\neor\n")
}

func TestListNumberIsReusedWithinABatch(t *testing.T) {
	expectReply(t, batch("1000000", withOneEndpoint(start("4"), "ledger 0 1", "item 88 0 0 0 2 1 900000", "targets 4 2 0 1",
		"knock 3 t/a 0 - - 2000000 - 0", "knock 4 t/b 0 - - 2000000 - 0")...),
		"dispatch 3 t/a 77 0\nremind 3 0 4000\ndispatch 4 t/b 88 0\nremind 4 0 4000\neor\n")
}

func TestHaltAndRestartInOneBatchForgetsAll(t *testing.T) {
	expectReply(t, batch("1000000", withOneEndpoint("knock 3 t/a 0 - - 2000000 - 0", "halt 3", start("3"),
		"targets 3 2 0 41", "lapsed 3 t/a", "knock 3 t/b 0 - - 2000000 - 0")...),
		"dispatch 3 t/a 77 0\nremind 3 0 4000\ndispatch 3 t/b 77 0\nremind 3 0 4000\neor\n")
}

func TestRequestIsRejectedWhenTheOnlyEndpointDrains(t *testing.T) {
	expectReply(t, batch("1000000", withOneEndpoint("ledger 1 1", "item 77 0 0 0 0 1 -", "targets 3 0 1 42",
		"knock 3 t/a 0 - - 0 - 0")...), "overload_reply 3 t/a 0\neor\n")
}

func TestEveryEventIsParsed(t *testing.T) {
	out, notices, errText := run(t, batch("1000000", withOneEndpoint("knock 3 t/a 0 0 user:1 2000000 500 7", "begun 3 t/a 0 77 10",
		"wake 3 9", "echo 3 77 100 5 util:0.5", "inbox 3 1 aGkgNw==", "inbox 3 1 -", "targets 3 3 0 0", "lapsed 3 t/a")...))
	if errText != "" || notices != "" || !strings.HasSuffix(out, "eor\n") {
		t.Errorf("output %q, notices %q, error %q", out, notices, errText)
	}
}

func TestUnknownEventsAndKeysAreNoticedOnce(t *testing.T) {
	known := strings.Replace(start("3"), `"stage":0`, `"stage":0,"novelty":{"x":1}`, 1)
	out, notices, errText := run(t, batch("1000000", known, known, "surprise 1 2", "surprise 3", "wonder"))
	want := "dykering-sim: unknown settings key novelty ignored\n" +
		"dykering-sim: unknown event surprise ignored\ndykering-sim: unknown event wonder ignored\n"
	if out != "eor\n" || notices != want || errText != "" {
		t.Errorf("output %q, notices %q, error %q", out, notices, errText)
	}
	var many []string
	for i := range 3 * maxNotices {
		many = append(many, fmt.Sprint("surprise", i))
	}
	if _, notices, _ := run(t, batch("1000000", many...)); strings.Count(notices, "\n") != maxNotices {
		t.Errorf("%d notices are written, want %d", strings.Count(notices, "\n"), maxNotices)
	}
}

func TestMalformedInputNamesLineAndField(t *testing.T) {
	for name, c := range map[string]struct{ input, want string }{
		"no batch":        {"wake 3 7\n", "line 1: wake: field begin_batch"},
		"no clock":        {"begin_batch\n", "line 1: begin_batch: field ts: missing"},
		"bad clock":       {"begin_batch soon\n", `field ts: "soon" is not a whole number`},
		"cut batch":       {"begin_batch 1\n", "field over_to_you: missing"},
		"never started":   {batch("1", "wake 9 7"), "line 2: wake: field sidecar: instance 9 was never started"},
		"missing field":   {batch("1", withOneEndpoint("wake 3")...), "line 6: wake: field label: missing"},
		"missing last":    {batch("1", withOneEndpoint("knock 3 t/a 0 - - 5")...), "knock: field workHint: missing"},
		"bad number":      {batch("1", withOneEndpoint("knock 3 t/a 0 - - x - 0")...), `field left: "x" is not a whole number`},
		"absent required": {batch("1", withOneEndpoint("knock 3 t/a - - - 5 - 0")...), "field type: missing"},
		"unknown class":   {batch("1", withOneEndpoint("knock 3 t/a 7 - - 5 - 0")...), "field type: no such class"},
		"bad tenant":      {batch("1", withOneEndpoint("knock 3 t/a 0 -1 - 5 - 0")...), "field userGroup: negative"},
		"bad kind":        {batch("1", "ledger 0 1", "item 1 0 5000000000 0 2 1 -"), "field kind: out of range"},
		"unknown ending":  {batch("1", withOneEndpoint("closed_attempt 3 t/a 77 1 5 999 0 -")...), "field ending: unknown outcome 999"},
		"bad flag":        {batch("1", withOneEndpoint("closed_attempt 3 t/a 77 2 5 100 0 -")...), "field final"},
		"bad load":        {batch("1", withOneEndpoint("closed_attempt 3 t/a 77 1 5 100 0 queue")...), "field pressure"},
		"list cut short":  {batch("1", start("3"), "ledger 0 2", "item 1 0 0 0 2 1 -"), "list cut short: 1 of 2"},
		"list unended":    {"begin_batch 1\nledger 0 2\n", "list cut short: 0 of 2"},
		"bad mode":        {batch("1", "ledger 0 1", "item 1 0 0 0 5 1 -"), "field mode: unknown state 5"},
		"bad units":       {batch("1", "ledger 0 1", "item 1 0 0 0 2 much -"), "field units"},
		"no such list":    {batch("1", start("3"), "targets 3 1 5 1"), "field buffer: no such list"},
		"list kind":       {batch("1", withOneEndpoint("targets 3 8 0 1")...), "field kind: unknown list kind"},
		"list number":     {batch("1", "ledger 99 0"), "field buffer: out of range"},
		"bad base64":      {batch("1", withOneEndpoint("inbox 3 1 ***")...), "field data: not base64"},
		"bad endpoint":    {batch("1", "ledger 0 1", "item 5000000000 0 0 0 2 1 -"), "field endpoint: out of range"},
		"no settings":     {batch("1", "new_instance 3 42"), "field config: missing"},
		"bad settings":    {batch("1", "new_instance 3 42 {"), "field config: not a settings object"},
		"no classes":      {batch("1", `new_instance 3 42 {"discovery":"push","instances":1}`), "classes: at least one class is required"},
		"bad discovery":   {batch("1", `new_instance 3 42 {"discovery":"guess"}`), "discovery: unknown word"},
		"bad effect": {
			batch("1", strings.Replace(start("3"), "read_like", "perhaps", 1)),
			`classes[0].effect: unknown effect "perhaps"`,
		},
	} {
		out, _, errText := run(t, c.input)
		if !strings.Contains(errText, c.want) || strings.Contains(errText, "\n") {
			t.Errorf("%s: error %q, want one line that contains %q (output %q)", name, errText, c.want, out)
		}
	}
}

func TestPanicIsReportedForItsInstance(t *testing.T) {
	var o bytes.Buffer
	s := newServer(strings.NewReader(batch("1", withOneEndpoint()...)), &o, &o)
	if ok, err := s.serveBatch(); !ok || err != nil {
		t.Fatal(ok, err)
	}
	s.instances[3].deliver(func(*balancer) { panic("lost\ncount") })
	s.instances[3].deliver(func(*balancer) { t.Error("a crashed instance got an event") })
	s.out.Flush()
	if want := "eor\ncrash 3 lost count\n"; o.String() != want {
		t.Errorf("got %q, want %q", o.String(), want)
	}
}

// Lists and outcomes may be repeated, late or refer to endpoints that have departed. A departed or draining endpoint gets
// no request, an endpoint that is ready again gets one, and an outcome ends its own attempt only.
func TestRepeatedAndLateListsAndOutcomesAreHandled(t *testing.T) {
	two := []string{start("3"), "ledger 0 2", "item 77 0 0 0 2 1 -", "item 88 0 0 0 2 1 -", "targets 3 2 0 41"}
	state := func(version, endpoint, mode string) []string {
		return []string{"ledger 1 1", "item " + endpoint + " 0 0 0 " + mode + " 1 -", "targets 3 0 1 " + version}
	}
	const draining, departed, ready = "0", "1", "2"
	for name, c := range map[string]struct {
		lists [][]string
		to    string // the endpoint of a request after the lists; empty if the request is rejected
	}{
		"drains twice":      {[][]string{state("42", "77", draining), state("42", "77", draining)}, "88"},
		"gone, then drains": {[][]string{state("42", "77", departed), state("43", "77", draining)}, "88"},
		"gone, late ready":  {[][]string{state("43", "77", departed), state("42", "77", ready)}, "88"},
		"drains, late":      {[][]string{state("43", "77", draining), state("42", "77", ready)}, "88"},
		"gone and back":     {[][]string{state("42", "77", departed), state("43", "88", draining), state("44", "77", ready)}, "77"},
		"both gone":         {[][]string{state("42", "77", departed), state("43", "88", departed)}, ""},
	} {
		events := two
		for _, l := range c.lists {
			events = append(events[:len(events):len(events)], l...)
		}
		out, _, errText := run(t, batch("1000000", append(events, "knock 3 t/a 0 - - 2000000 - 0")...))
		want := "dispatch 3 t/a " + c.to + " 0\n"
		if c.to == "" {
			want = "overload_reply 3 t/a "
		}
		if !strings.Contains(out, want) || errText != "" {
			t.Errorf("%s: got %q, error %q, want %q", name, out, errText, want)
		}
	}
	out, _, errText := run(t, batch("1000000", append(two, "knock 3 t/a 0 - - 2000000 - 0")...)+
		batch("1010000", "closed_attempt 3 t/a 77 0 10000 302 0 -", "closed_attempt 3 t/a 88 0 10000 302 0 -",
			"closed_attempt 3 t/a 77 0 10000 302 0 -", "closed_attempt 3 t/a 88 0 10000 302 0 -"))
	if n := strings.Count(out, "dispatch 3 t/a"); n != 2 || errText != "" {
		t.Errorf("%d attempts after repeated outcomes of the first two, want 2: %q, error %q", n, out, errText)
	}
}
