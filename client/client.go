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

// Limits of the idle connections that a client keeps.
const (
	idleConnectionsPerAddress = 8
	idleConnectionTimeout     = 30 * time.Second
)

// Options configure a Client. The zero value of each field except Addresses selects its default.
type Options struct {
	// Addresses are the control_plane addresses of the control processes, each HOST:PORT.
	Addresses []string
	// Holder is the name of this client as a holder of locks; the default is a random name. No two clients may use the same
	// name at the same time, since the service would grant both the same locks. A program that keeps its name over a restart
	// can acquire the locks that it held before without waiting until their hold has passed.
	Holder string
	// AttemptTimeout bounds one request to one address.
	AttemptTimeout time.Duration
	// CallTimeout bounds one call with all its attempts, even if the context has no deadline.
	CallTimeout time.Duration
	// MaxPause bounds the pause between two attempts, which starts at 10 ms and doubles. A longer Retry-After is honoured.
	MaxPause time.Duration
	// WatchWait is how long the service may wait for events before it answers a watch call.
	WatchWait time.Duration
	// Transport sends the requests; the default is an http.Transport without a proxy.
	Transport http.RoundTripper
}

// Client calls the coordination service. It is safe for concurrent use.
type Client struct {
	options   Options
	http      *http.Client
	addresses *addressList

	mu    sync.Mutex
	locks map[string]bool // names of the locks that are held or being acquired
}

// New returns a client. It opens no connection.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("Options.Addresses is empty: at least one address is required")
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

// setDefaults replaces zero values with the defaults.
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

// returnRedirect makes the HTTP client return redirects as responses, since the service does not use redirects.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Holder returns the name under which the client holds locks.
func (c *Client) Holder() string { return c.options.Holder }

// Close closes the idle connections. It does not release locks.
func (c *Client) Close() { c.http.CloseIdleConnections() }
