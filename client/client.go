package client

import (
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Defaults of Options.
const (
	DefaultAttemptTimeout = time.Second
	DefaultCallTimeout    = 10 * time.Second
	DefaultMaxPause       = time.Second
	DefaultWatchWait      = 2 * time.Second
)

// Limits of the connections that a client keeps.
const (
	idleConnectionsPerAddress = 8
	idleConnectionTimeout     = 30 * time.Second
)

// Options configure a Client. The zero value of each field but Addresses stands for its default.
type Options struct {
	// Addresses are the control_plane addresses of the control processes, each HOST:PORT.
	Addresses []string
	// Holder names this client as a holder of locks; the default is a random name. No other caller may have the same name
	// at the same time: it would be given the same locks. A program that keeps its name over a restart gets the locks
	// that it held before without waiting for their hold to pass.
	Holder string
	// AttemptTimeout bounds one request to one address.
	AttemptTimeout time.Duration
	// CallTimeout bounds one call with all its attempts, also where the context has no deadline.
	CallTimeout time.Duration
	// MaxPause bounds the pause between two attempts, which grows from 10 ms. A longer Retry-After is honoured.
	MaxPause time.Duration
	// WatchWait is how long the service may hold a watch that has no events.
	WatchWait time.Duration
	// Transport carries the requests; the default is a http.Transport without a proxy.
	Transport http.RoundTripper
}

// Client calls the coordination service. It is safe for use by several goroutines.
type Client struct {
	options   Options
	http      *http.Client
	addresses *addressList

	mu    sync.Mutex
	locks map[string]bool // names of the locks that are held or being acquired
}

// New returns a client. It does not connect yet.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("no address is given")
	}
	for _, address := range options.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, errors.Wrap(err, "address")
		}
	}
	options.setDefaults()
	return &Client{
		options:   options,
		http:      &http.Client{Transport: options.Transport, CheckRedirect: returnRedirect},
		addresses: newAddressList(options.Addresses),
		locks:     map[string]bool{},
	}, nil
}

// setDefaults replaces zero values.
func (o *Options) setDefaults() {
	if o.Holder == "" {
		o.Holder = rand.Text()
	}
	if o.AttemptTimeout <= 0 {
		o.AttemptTimeout = DefaultAttemptTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.MaxPause <= 0 {
		o.MaxPause = DefaultMaxPause
	}
	if o.WatchWait <= 0 {
		o.WatchWait = DefaultWatchWait
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: idleConnectionsPerAddress, IdleConnTimeout: idleConnectionTimeout}
	}
}

// returnRedirect makes a redirect the answer: the service has none.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Holder is the name by which the client holds locks.
func (c *Client) Holder() string { return c.options.Holder }

// Close closes the idle connections. Locks are not released.
func (c *Client) Close() { c.http.CloseIdleConnections() }
