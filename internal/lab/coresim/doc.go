// Package coresim emulates the core in virtual time: members that run the state machine of internal/chain, the network
// between them, their disks, and the callers that write, read and watch the holder of the singleton role. What callers
// saw is checked against what was promised to them.
package coresim
