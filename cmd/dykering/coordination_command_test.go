package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"dykering/internal/commandline"
)

// startCoordinationServer starts a server that answers calls by method, path, query and body. Other calls get status 400.
func startCoordinationServer(t *testing.T, answers map[string]string) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		answer, known := answers[strings.TrimSpace(r.Method+" "+r.URL.String()+" "+string(body))]
		status, text, _ := strings.Cut(answer, " ")
		switch {
		case !known:
			w.WriteHeader(http.StatusBadRequest)
		case status != "200":
			w.Header().Set("Retry-After", "10") // prevents a second attempt after 503, which the command's time limit would interrupt
			code, _ := strconv.Atoi(status)
			w.WriteHeader(code)
		}
		io.WriteString(w, text)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestCoordinationCommandsPrintAndExitAsTheServiceAnswers(t *testing.T) {
	address := startCoordinationServer(t, map[string]string{
		`POST /locks/l/begin {"lease_holder":"h","hold_ms":3000}`:                        `200 {"fencing_token":41}`,
		`POST /locks/l/begin {"lease_holder":"other","hold_ms":3000}`:                    `409`,
		`POST /locks/l/heartbeat {"lease_holder":"h","fencing_token":41,"hold_ms":9000}`: `200`,
		`POST /locks/l/heartbeat {"lease_holder":"h","fencing_token":40,"hold_ms":3000}`: `409`,
		`POST /locks/l/finish {"lease_holder":"h","fencing_token":41}`:                   `200`,
		`POST /numbers/n {}`:                                     `200 {"value":5120}`,
		`POST /numbers/off {}`:                                   `503`,
		`GET /cells/g.k/read`:                                    `200 {"value":"v","revision":931}`,
		`GET /cells/g.none/read`:                                 `404`,
		`POST /cells/g.k/replace {"value":"v1"}`:                 `200 {"revision":932}`,
		`POST /cells/g.k/replace {"value":"v2","if_revision":0}`: `412 {"revision":931}`,
		`GET /watch/g.?after=930&wait_ms=2000`:                   `200 {"events":[{"name":"g.k","value":"v","revision":931},{"name":"g.k","value":"v1","revision":932}],"revision":932}`,
		`GET /watch/g.?after=1&wait_ms=2000`:                     `410`,
		`GET /watch/g.?after=0&wait_ms=2000`:                     `200 {"events":[],"revision":930}`,
	})
	for _, step := range []struct {
		command string
		code    int
		output  string // the whole output of a successful command, or a part of the error
	}{
		{"lock acquire l --holder h", commandline.ExitOK, "l is held by h with token 41 for 3s\n"},
		{"lock acquire l --holder h --json", commandline.ExitOK, `{"lock":"l","lease_holder":"h","fencing_token":41,"hold_ms":3000}` + "\n"},
		{"lock acquire l --holder other", commandline.ExitFailure, "another holder has the lock"},
		{"lock acquire l", commandline.ExitUsage, "holder"},
		{"lock renew l --holder h --token 41 --hold 9s", commandline.ExitOK, "l is held by h with token 41 for 9s\n"},
		{"lock renew l --holder h --token 40", commandline.ExitFailure, "the lock is lost"},
		{"lock release l --holder h --token 41", commandline.ExitOK, "l is not held by h with token 41\n"},
		{"lock", commandline.ExitUsage, "a command is missing"},
		{"number next n", commandline.ExitOK, "5120\n"},
		{"number next n --json", commandline.ExitOK, `{"number":"n","value":5120}` + "\n"},
		{"number next off --timeout 300ms", commandline.ExitFailure, "nothing was done"},
		{"number next", commandline.ExitUsage, "accepts 1 arg(s), received 0"},
		{"number next n --address nowhere", commandline.ExitUsage, "nowhere"},
		{"key get g.k", commandline.ExitOK, "931 v\n"},
		{"key get g.none", commandline.ExitFailure, "the key does not exist"},
		{"key put g.k v1", commandline.ExitOK, "932 v1\n"},
		{"key put g.k v1 --json", commandline.ExitOK, `{"key":"g.k","value":"v1","revision":932}` + "\n"},
		{"key put g.k v2 --if-revision 0", commandline.ExitFailure, "key g.k has revision 931"},
		{"watch g. --after 930 --count 2", commandline.ExitOK, "931 g.k v\n932 g.k v1\n"},
		{"watch g. --count 1 --json", commandline.ExitOK, `{"key":"g.k","value":"v","revision":931}` + "\n"},
		{"watch g. --after 1", commandline.ExitFailure, "no longer kept"},
		{"watch g", commandline.ExitFailure, "not a group"},
	} {
		args := strings.Fields(step.command)
		if len(args) > 1 {
			args = append(args, "--address", address)
		}
		var out, errOut bytes.Buffer
		code := execute(args, &out, &errOut)
		output, fits := out.String(), out.String() == step.output
		if code != commandline.ExitOK {
			output, fits = errOut.String(), strings.Contains(errOut.String(), step.output)
		}
		if code != step.code || !fits {
			t.Errorf("%s: exit code %d, %q", step.command, code, output)
		}
	}
}
