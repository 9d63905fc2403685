package systemdemo

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// playWithFakeControl plays the coordination part against a fake control process. It returns the printed steps and the number of
// times the head was killed.
func playWithFakeControl(t *testing.T, f flaw) (printed string, killed int, err error) {
	t.Helper()
	var mu sync.Mutex
	part := &coordination{
		coordinator: NewHTTPCoordinator([]string{refusingAddress(t), startFakeControl(t, f)}),
		hold:        time.Second,
		logStep: func(format string, arguments ...any) {
			mu.Lock()
			defer mu.Unlock()
			printed += fmt.Sprintf(format, arguments...) + "\n"
		},
		killHead: func() error {
			killed++
			return nil
		},
	}
	err = part.play(t.Context())
	return printed, killed, err
}

// refusingAddress returns an address that no process listens on.
func refusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestCoordinationIsShown(t *testing.T) {
	for _, f := range []flaw{none, answersAreLost} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			printed, killed, err := playWithFakeControl(t, f)
			if err != nil || killed != 1 {
				t.Errorf("%v, %d killed\n%s", err, killed, printed)
			}
			for _, step := range []string{"alice takes the lock", "bob gets the lock", "numbers were drawn", "the watch has shown"} {
				if !strings.Contains(printed, step) {
					t.Errorf("%q is not printed:\n%s", step, printed)
				}
			}
		})
	}
}

func TestControlProcessesWithoutCoordinationAreNoticedFirst(t *testing.T) {
	printed, killed, err := playWithFakeControl(t, notServed)
	if !errors.Is(err, ErrNotServed) || killed != 0 || printed != "" {
		t.Errorf("%v, %d killed, printed %q", err, killed, printed)
	}
}

func TestEachBrokenPromiseIsDetected(t *testing.T) {
	for f, want := range map[flaw]string{
		numberRepeats:     "number 3 was given after 3",
		tokenRepeats:      "is not above the former holder's",
		lockPassesEarly:   "after the renewal by alice",
		lostLockIsRenewed: "renewal by the former holder: <nil>",
		watchSkips:        "the watch has shown",
		watchChanges:      "the watch has shown",
		readIsOld:         "was put and",
		revisionRepeats:   "a put got revision 3 after",
	} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			if _, _, err := playWithFakeControl(t, f); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want %q", err, want)
			}
		})
	}
}
