package gossip

import (
	"log"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// tcpTimeoutIntervals bounds, in probe intervals, a stream to a member that does not answer, so that a join ends soon.
const tcpTimeoutIntervals = 4

// memberlistConfig makes memberlist's configuration, with a transport that listens. The section has been checked.
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
	// A process that starts again under its ID at another address replaces the old one once that is dead.
	config.DeadNodeReclaimTime = config.ProbeInterval
	config.TCPTimeout = min(config.TCPTimeout, tcpTimeoutIntervals*config.ProbeInterval)
	config.LogOutput = &logWriter{log: g.log}
	d := (*delegate)(g)
	config.Events, config.Conflict, config.Ping, config.Delegate, config.Alive = d, d, d, d, d
	config.EnableCompression = false // messages are read from the packets, which are small
	return config, g.addTransport(config)
}

// addTransport adds a transport that is counted and inspected: memberlist's own, or the laboratory's through a relay.
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
	// memberlist learns the port that port 0 became only from a transport of its own type, not from a wrapper.
	config.BindPort = transport.GetAutoBindPort()
	config.AdvertisePort = config.BindPort
	config.Transport = newCountingTransport(transport, &g.counters.Traffic, g.inspectPacket)
	return nil
}
