// Package faultnet injects faults into the brokers' gossip. All packets and streams of the gossip pass
// through a relay on loopback (the setting `relay` in [fleet]). The relay takes links down in one direction
// or both, drops a share of the packets, delays them, and partitions the fleet. A schedule of such faults
// can also suspend, kill and start the processes of a Fleet.
//
// Package real and the tests of the fleet use it. Scenario files contain its schedules, so the TOML keys of
// Step cannot change. The relay changes no payload, and its queues are bounded.
package faultnet
