package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"dykering/client"
)

// newServer returns a server in place of a control process. It answers each call with the response in the API documentation.
func newServer() *httptest.Server {
	mux := http.NewServeMux()
	for pattern, body := range map[string]string{
		"POST /locks/{id}/begin":     `{"fencing_token":41}`,
		"POST /locks/{id}/heartbeat": ``,
		"POST /locks/{id}/finish":    ``,
		"POST /numbers/{id}":         `{"value":5120}`,
		"GET /cells/{id}/read":       `{"value":"5c0e7a21d94b36f8","revision":931}`,
		"GET /watch/{id}":            `{"events":[{"name":"g1.2d","value":"5c0e7a21d94b36f8","revision":931}],"revision":934}`,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) })
	}
	mux.HandleFunc("POST /cells/{id}/replace", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusPreconditionFailed)
		io.WriteString(w, `{"revision":922}`)
	})
	return httptest.NewServer(mux)
}

// newClient returns a client of a server.
func newClient(server *httptest.Server) *client.Client {
	c, err := client.New(client.Options{Addresses: []string{server.Listener.Addr().String()}})
	if err != nil {
		panic(err)
	}
	return c
}

func ExampleClient_Acquire() {
	server := newServer()
	defer server.Close()
	c := newClient(server)
	defer c.Close()
	ctx := context.Background()

	lock, err := c.Acquire(ctx, "l1f", 3*time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer lock.Release(ctx)
	select {
	case <-lock.Lost():
		fmt.Println("stop the work")
	default:
		fmt.Println("write with token", lock.Token())
	}
	// Output: write with token 41
}

func ExampleElection_Campaign() {
	server := newServer()
	defer server.Close()
	c := newClient(server)
	defer c.Close()
	ctx := context.Background()

	leadership, err := c.Election("kvittens-leader", 3*time.Second).Campaign(ctx)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("leads:", leadership.Leads())
	fmt.Println("resigned:", leadership.Resign(ctx))
	// Output:
	// leads: true
	// resigned: <nil>
}

func ExampleClient_Next() {
	server := newServer()
	defer server.Close()
	c := newClient(server)
	defer c.Close()

	fmt.Println(c.Next(context.Background(), "n2"))
	// Output: 5120 <nil>
}

func ExampleClient_PutIf() {
	server := newServer()
	defer server.Close()
	c := newClient(server)
	defer c.Close()

	_, err := c.PutIf(context.Background(), "g1.2d", "a value of its own", 907)
	var conflict *client.ConflictError
	if errors.As(err, &conflict) {
		fmt.Println("read again: the key has revision", conflict.Revision)
	}
	// Output: read again: the key has revision 922
}

func ExampleWatch_Next() {
	server := newServer()
	defer server.Close()
	c := newClient(server)
	defer c.Close()

	watch, err := c.Watch("g1.", 930)
	if err != nil {
		fmt.Println(err)
		return
	}
	event, err := watch.Next(context.Background())
	if errors.Is(err, client.ErrHistoryGone) {
		fmt.Println("read the keys again")
		return
	}
	fmt.Println(event.Key, event.Value, event.Revision)
	fmt.Println("resume from", watch.Revision())
	// Output:
	// g1.2d 5c0e7a21d94b36f8 931
	// resume from 934
}
