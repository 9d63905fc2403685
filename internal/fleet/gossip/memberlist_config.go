package gossip

import (
	"log"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// tcpTimeoutIntervals is the upper bound of memberlist's TCP timeout, in probe intervals, so that a join through a member
// that does not answer ends soon.
const tcpTimeoutIntervals = 4

// memberlistConfig returns memberlist's configuration with a listening transport. The section has passed Check.
func (g *Gossip) memberlistConfig() (*memberlist.Config, error) {
	section := &g.section
	host, port, err := net.SplitHostPort(section.Bind)
	if err != nil {
		return nil, err
	}
	config := memberlist.DefaultLANConfig()
	config.Name = section.ID
	config.BindAddr, config.AdvertiseAddr = host, host
	if config.BindPort, err = strconv.Atoi(port); err != nil {
		return nil, err
	}
	config.AdvertisePort = config.BindPort
	config.ProbeInterval = time.Duration(section.ProbeInterval)
	config.ProbeTimeout = time.Duration(section.ProbeTimeout)
	config.SuspicionMult = section.SuspicionMult
	config.IndirectChecks = section.IndirectChecks
	config.GossipToTheDeadTime = time.Duration(section.DeadRetention)
	// A process that restarts with the same ID at another address replaces its predecessor once that is declared dead.
	config.DeadNodeReclaimTime = config.ProbeInterval
	config.TCPTimeout = min(config.TCPTimeout, tcpTimeoutIntervals*config.ProbeInterval)
	config.LogOutput = &logWriter{log: g.log}
	d := (*delegate)(g)
	config.Events, config.Conflict, config.Ping, config.Delegate, config.Alive = d, d, d, d, d
	config.EnableCompression = false // inspectPacket decodes the packets, and they are small
	return config, g.addTransport(config)
}

// addTransport sets a transport that counts and inspects packets. It wraps memberlist's own transport, or the relay
// transport if the section names a fault relay.
func (g *Gossip) addTransport(config *memberlist.Config) error {
	if g.section.Relay != "" {
		transport, err := newRelayTransport(g.section.Bind, g.section.Relay, &g.counters.Traffic)
		if err != nil {
			return err
		}
		config.Transport = newCountingTransport(transport, &g.counters.Traffic, g.inspectPacket)
		return nil
	}
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{config.BindAddr}, BindPort: config.BindPort, Logger: log.New(config.LogOutput, "", 0),
	})
	if err != nil {
		return err
	}
	// If the configured port is 0, memberlist reads the actual port only from a transport of its own type, not from a
	// wrapper.
	config.BindPort = transport.GetAutoBindPort()
	config.AdvertisePort = config.BindPort
	config.Transport = newCountingTransport(transport, &g.counters.Traffic, g.inspectPacket)
	return nil
}
