// Package faultnet injects faults into the brokers' gossip. A relay on loopback, through which all of their
// packets and streams go (package gossip, `relay` in [fleet]), takes links down one way or both, drops a
// share of packets, delays them, and partitions the fleet. A schedule of such faults can also stall, kill
// and start processes of a Fleet.
//
// Package real and tests of the fleet use it; scenarios contain its schedules, whose TOML keys stay. The
// relay changes no payload, and its queues are bounded.
package faultnet
