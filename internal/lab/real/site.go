package real

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
)

// Site is a small installation on loopback. It consists of stand-in servers, their discovery, a
// listening socket, and the broker processes that share the socket.
type Site struct {
	URL       string
	Servers   []*Server
	Discovery *Discovery
	Brokers   []*Process
	dir       string
	file      string // the platform's configuration file
	socket    *os.File
}

// Limits are the resources that the configuration grants to a process of the broker. The process uses
// half of them and leaves the rest to a successor.
type Limits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// NewSite starts a discovery of the servers and creates the listening socket. Close of the site also
// kills the servers.
func NewSite(servers []*Server, settings string, limits Limits) (_ *Site, err error) {
	st := &Site{Servers: servers}
	defer func() {
		if err != nil {
			err = errors.Join(err, st.Close())
		}
	}()
	if st.dir, err = os.MkdirTemp("", "dykering-lab-"); err != nil {
		return nil, err
	}
	if st.Discovery, err = StartDiscovery(st.Servers); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close() // the duplicated descriptor stays open
	st.URL = "http://" + l.Addr().String()
	if st.socket, err = l.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{
		"name": "lab", "listen": l.Addr().String(), "discovery": st.Discovery.Address,
		"seed": "a1", "limits": limits, "settings": json.RawMessage(settings),
	})
	if err != nil {
		return nil, err
	}
	st.file = filepath.Join(st.dir, "config.json")
	return st, os.WriteFile(st.file, text, 0o600)
}

// Dir returns the directory of the site's files. Close removes it.
func (st *Site) Dir() string { return st.dir }

// StartBroker starts a process on the listening socket and waits until it can serve.
func (st *Site) StartBroker(ctx context.Context, command []string, env ...string) (*Process, error) {
	p, err := Launch{
		Command: command, File: st.file, Socket: st.socket, Dir: st.dir, Env: env,
		Log: filepath.Join(st.dir, fmt.Sprintf("broker-%d.log", len(st.Brokers))),
	}.Start()
	if err != nil {
		return nil, err
	}
	st.Brokers = append(st.Brokers, p)
	return p, p.Ready(ctx)
}

// Close stops the processes, the discovery and the servers, and removes the directory.
func (st *Site) Close() error {
	for _, b := range st.Brokers {
		b.Stop()
	}
	if st.Discovery != nil {
		st.Discovery.Close()
	}
	for _, s := range st.Servers {
		s.Kill()
	}
	var err error
	if st.socket != nil {
		err = st.socket.Close()
	}
	if st.dir != "" {
		err = errors.Join(err, os.RemoveAll(st.dir))
	}
	return err
}
