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
	site := &Site{Servers: servers}
	defer func() {
		if err != nil {
			err = errors.Join(err, site.Close())
		}
	}()
	if site.dir, err = os.MkdirTemp("", "dykering-lab-"); err != nil {
		return nil, err
	}
	if site.Discovery, err = StartDiscovery(site.Servers); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close() // the duplicated descriptor stays open
	site.URL = "http://" + l.Addr().String()
	if site.socket, err = l.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{
		"name": "lab", "listen": l.Addr().String(), "discovery": site.Discovery.Address,
		"seed": "a1", "limits": limits, "settings": json.RawMessage(settings),
	})
	if err != nil {
		return nil, err
	}
	site.file = filepath.Join(site.dir, "config.json")
	return site, os.WriteFile(site.file, text, 0o600)
}

// Dir returns the directory of the site's files. Close removes it.
func (site *Site) Dir() string { return site.dir }

// StartBroker starts a process on the listening socket and waits until it can serve.
func (site *Site) StartBroker(ctx context.Context, command []string, env ...string) (*Process, error) {
	p, err := Launch{
		Command: command, File: site.file, Socket: site.socket, Dir: site.dir, Env: env,
		Log: filepath.Join(site.dir, fmt.Sprintf("broker-%d.log", len(site.Brokers))),
	}.Start()
	if err != nil {
		return nil, err
	}
	site.Brokers = append(site.Brokers, p)
	return p, p.Ready(ctx)
}

// Close stops the processes, the discovery and the servers, and removes the directory.
func (site *Site) Close() error {
	for _, b := range site.Brokers {
		b.Stop()
	}
	if site.Discovery != nil {
		site.Discovery.Close()
	}
	for _, s := range site.Servers {
		s.Kill()
	}
	var err error
	if site.socket != nil {
		err = site.socket.Close()
	}
	if site.dir != "" {
		err = errors.Join(err, os.RemoveAll(site.dir))
	}
	return err
}
